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

/// How long a primary whose VM is leaving (being taken out of service) still gets new work while no successor has
/// been promoted.
inline constexpr auto leaving_grace = std::chrono::milliseconds{3000};

/// The result of one heartbeat request to a backend instance.
struct heartbeat {
    std::string key;
    bool answered{false};
    /// True if the VM refused the connection, which means that the instance's process is not running.
    bool refused{false};
    bool primary{false};
    std::uint64_t term{0};
    /// The last log position that the instance has applied, and the term of the primary that wrote the entry there; 0
    /// if the log is empty or the instance does not report the term.
    std::uint64_t position{0};
    std::uint64_t position_term{0};
    std::int64_t staleness_ms{0};
    /// For a replica, the time since its last contact with its primary.
    std::int64_t primary_contact_age_ms{0};
    /// When the request was sent.
    std::chrono::steady_clock::time_point asked_at{};
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
    std::uint64_t position_term{0};
    /// True if the primary has lost entries that it wrote in its term, because it restarted without its log.
    bool log_lost{false};
    std::int64_t staleness_ms{0};
    std::int64_t primary_contact_age_ms{0};
    std::chrono::steady_clock::time_point last_heartbeat_at{};
    /// Since when the platform (the external service that keeps the configuration and the list of VMs) has listed
    /// the instance's VM as leaving; empty if the VM is not listed as leaving.
    std::optional<std::chrono::steady_clock::time_point> leaving_since;

    /// Whether new requests and transactions may be sent to this instance. A leaving replica gets none; a leaving
    /// primary still gets them for `leaving_grace`, until another primary takes over.
    [[nodiscard]] bool accepts_new_work(std::chrono::steady_clock::time_point now) const {
        return !leaving_since || (primary && now - *leaving_since < leaving_grace);
    }

    [[nodiscard]] bool healthy(std::chrono::steady_clock::time_point now) const {
        return !refused && last_heartbeat_at.time_since_epoch().count() != 0 &&
               now - last_heartbeat_at < health_timeout;
    }
};

/// Returns `service/database`, the key of a database in tokens and logs.
[[nodiscard]] std::string database_key(std::string_view service, std::string_view database);

/// The backend instances of the configuration, each with its state from the last heartbeat.
class topology {
public:
    /// Replaces the instances by those of `config`. Keeps the state of instances whose key and address are unchanged.
    void reset(const config::cluster& config);

    /// Records a heartbeat result; results for unknown instances are ignored.
    void record(const heartbeat& report, std::chrono::steady_clock::time_point now);

    /// Marks the instances whose VM (`IP` or `IP:PORT`) is in `leaving`, and unmarks all others.
    void set_leaving(const std::set<std::string, std::less<>>& leaving, std::chrono::steady_clock::time_point now);

    /// Returns the healthy primary of a database with the highest term, or null. A primary that has lost its log does
    /// not count.
    [[nodiscard]] const instance_view* primary(std::string_view service, std::string_view database,
                                               std::chrono::steady_clock::time_point now) const;

    /// Returns the healthy replicas that accept new work. Replicas known to have applied `last_write` come first; among
    /// these, and among the others, replicas in `zone` come first.
    [[nodiscard]] std::vector<const instance_view*> replicas(std::string_view service, std::string_view database,
                                                             term_position last_write, std::string_view zone,
                                                             std::chrono::steady_clock::time_point now) const;

    /// Returns the instance with this key, or null.
    [[nodiscard]] const instance_view* find(std::string_view key) const;

    /// Returns all instances of a database.
    [[nodiscard]] std::vector<const instance_view*> members(std::string_view service, std::string_view database) const;

    /// Returns all instances, for the state dump.
    [[nodiscard]] Json::Value describe(std::chrono::steady_clock::time_point now) const;

    /// Returns all instances by key.
    [[nodiscard]] const std::map<std::string, instance_view, std::less<>>& instances() const noexcept {
        return m_instances;
    }

private:
    [[nodiscard]] bool lacks_own_entries(const instance_view& before, const heartbeat& report) const;

    std::map<std::string, instance_view, std::less<>> m_instances;
};

} // namespace cornellever::proxy
