#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <jsoncpp/json/value.h>

#include "cornellever/config/model.hpp"
#include "cornellever/core/asio.hpp"
#include "cornellever/proxy/term_position.hpp"

namespace cornellever::proxy {

/// How long an instance counts as healthy after its last successful heartbeat.
inline constexpr auto health_timeout = std::chrono::milliseconds{600};

/// How long a leaving primary still gets new work until its successor is promoted.
inline constexpr auto leaving_grace = std::chrono::milliseconds{3000};

/// The result of one heartbeat of an instance.
struct heartbeat {
    std::string key;
    bool answered{false};
    /// The VM refused the connection: the instance's process is not running.
    bool refused{false};
    bool primary{false};
    std::uint64_t term{0};
    /// The last position applied.
    std::uint64_t position{0};
    std::int64_t staleness_ms{0};
    /// How long ago a replica last heard from its primary.
    std::int64_t primary_contact_age_ms{0};
};

/// The last known state of one backend instance.
struct instance_view {
    std::string key;
    std::string service;
    std::string database;
    std::string name;
    std::string zone;
    tcp::endpoint address;
    int connections{0};
    bool primary{false};
    bool refused{false};
    std::uint64_t term{0};
    std::uint64_t position{0};
    std::int64_t staleness_ms{0};
    std::int64_t primary_contact_age_ms{0};
    std::chrono::steady_clock::time_point last_heartbeat_at{};
    /// Set while the platform lists the VM as leaving.
    std::optional<std::chrono::steady_clock::time_point> leaving_since;

    /// Whether new work may be sent here. A leaving replica gets none; a leaving primary gets some for
    /// `leaving_grace`, until another primary takes over.
    [[nodiscard]] bool accepts_new_work(std::chrono::steady_clock::time_point now) const {
        return !leaving_since || (primary && now - *leaving_since < leaving_grace);
    }

    [[nodiscard]] bool healthy(std::chrono::steady_clock::time_point now) const {
        return !refused && last_heartbeat_at.time_since_epoch().count() != 0 &&
               now - last_heartbeat_at < health_timeout;
    }
};

/// `service/database`, the key of a database in tokens and logs.
[[nodiscard]] std::string database_key(std::string_view service, std::string_view database);

/// The instances of the configuration with their state from heartbeats.
class topology {
public:
    /// Replaces the instances by those of `config`, keeping the state of unchanged ones.
    void reset(const config::cluster& config);

    /// Records a heartbeat; unknown keys are ignored.
    void record(const heartbeat& report, std::chrono::steady_clock::time_point now);

    /// Marks the instances whose VM (`IP` or `IP:PORT`) is in `leaving`, and unmarks all others.
    void set_leaving(const std::set<std::string, std::less<>>& leaving, std::chrono::steady_clock::time_point now);

    /// The healthy primary of a database with the highest term, or null.
    [[nodiscard]] const instance_view* primary(std::string_view service, std::string_view database,
                                               std::chrono::steady_clock::time_point now) const;

    /// Healthy replicas that accept new work. Those known to have applied `last_write` come first, and among equals
    /// those in `zone`.
    [[nodiscard]] std::vector<const instance_view*> replicas(std::string_view service, std::string_view database,
                                                             term_position last_write, std::string_view zone,
                                                             std::chrono::steady_clock::time_point now) const;

    /// The instance with this key, or null.
    [[nodiscard]] const instance_view* find(std::string_view key) const;

    /// All instances of a database.
    [[nodiscard]] std::vector<const instance_view*> members(std::string_view service, std::string_view database) const;

    /// All instances, for the state dump.
    [[nodiscard]] Json::Value describe(std::chrono::steady_clock::time_point now) const;

    /// All instances by key.
    [[nodiscard]] const std::map<std::string, instance_view, std::less<>>& instances() const noexcept {
        return m_instances;
    }

private:
    std::map<std::string, instance_view, std::less<>> m_instances;
};

} // namespace cornellever::proxy
