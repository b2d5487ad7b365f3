#pragma once

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "caller.hpp"
#include "metadata_store.hpp"
#include "proxy_process.hpp"
#include "replicated_service.hpp"

namespace cornellever::soak {

struct scenario_settings {
    std::string binary;
    std::filesystem::path folder;
    std::uint64_t seed{1};
    std::chrono::seconds planned{6};
    std::chrono::seconds faulty{12};
    /// Rounds in which a primary loses its log while proxies are killed.
    int emptied{0};
    /// Rounds in which the store returns from an older copy.
    int returns{0};
    std::size_t proxies{5};
    std::size_t callers{24};
};

/// A whole deployment on loopback under faults: real proxies as processes,
/// emulated servers and store behind gateways, and callers. First planned work
/// alone, then faults of all kinds, which overlap, then a pause in which
/// everything has to recover.
class scenario {
public:
    scenario(asio::io_context& io, scenario_settings settings);

    /// Plays it; returns how many promises were broken.
    asio::awaitable<std::size_t> play();

private:
    struct fault {
        std::string_view name;
        bool planned{false};
        std::function<std::string()> strike;
    };

    void list_faults();
    void list_process_faults();
    void list_server_faults();
    void list_store_faults();
    void list_odd_faults();
    [[nodiscard]] std::string odd_row();
    void strike(fault& next, time_point begun);
    asio::awaitable<void> odd_phase(std::chrono::seconds length, bool planned_only);
    asio::awaitable<void> housekeeping();
    asio::awaitable<void> watch_readiness(proxy_process& at);
    asio::awaitable<void> phase(std::chrono::seconds length, bool planned_only);
    asio::awaitable<void> later(std::chrono::milliseconds when, std::function<void()> what);
    asio::awaitable<void> emptied_phase();
    asio::awaitable<void> returns_phase();
    void return_store(std::chrono::milliseconds age);
    asio::awaitable<void> recover();
    asio::awaitable<void> check_recovered();
    asio::awaitable<void> stop_all();
    void tend(proxy_process& at);
    void publish(emulated_server& server);
    void publish_configuration();
    void disrupt();
    void cut(const tcp::endpoint& at, const request& asked);
    void after(std::chrono::milliseconds when, std::function<void()> what);
    std::string leave(emulated_server& server);
    [[nodiscard]] std::optional<tcp::endpoint> pick_proxy();
    [[nodiscard]] std::string address(unsigned last) const;
    [[nodiscard]] std::uint64_t below(std::uint64_t limit) { return m_random() % limit; }
    [[nodiscard]] std::chrono::milliseconds between(std::uint64_t least, std::uint64_t most) {
        return std::chrono::milliseconds{least + below(most - least)};
    }
    proxy_process& any_proxy() { return *m_proxies[below(m_proxies.size())]; }
    [[nodiscard]] std::uint64_t odd_below(std::uint64_t limit) { return m_odd_random() % limit; }
    replicated_service& any_service() { return *m_services[below(m_services.size())]; }
    emulated_server& any_server() {
        auto& all = any_service().servers();
        return *all[below(all.size())];
    }

    asio::io_context& m_io;
    scenario_settings m_settings;
    std::mt19937_64 m_random;
    promises m_promises;
    std::vector<std::unique_ptr<replicated_service>> m_services;
    std::unique_ptr<metadata_store> m_store;
    std::vector<std::unique_ptr<proxy_process>> m_proxies;
    std::vector<database> m_databases;
    std::vector<std::unique_ptr<caller>> m_callers;
    std::vector<fault> m_faults;
    /// Strike beside the others and draw from a generator of their own, so that
    /// a seed's order of the others stays what it was.
    std::vector<fault> m_odd_faults;
    std::mt19937_64 m_odd_random;
    std::mt19937_64 m_emptied_random;
    std::mt19937_64 m_returns_random;
    std::map<std::string, std::string> m_published;
    std::map<std::string, time_point> m_down_since;
    std::uint64_t m_config_version{10};
    std::uint64_t m_renamed{0};
    time_point m_disrupted_at{};
    bool m_stop{false};
    bool m_ending{false};
};

} // namespace cornellever::soak
