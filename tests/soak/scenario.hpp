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
    int log_loss_rounds{0};
    /// Rounds in which the store returns from an older copy.
    int store_restore_rounds{0};
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
        std::function<std::string()> inject;
    };

    void list_faults();
    void list_process_faults();
    void list_server_faults();
    void list_store_faults();
    void list_independent_faults();
    [[nodiscard]] std::string malformed_row();
    void inject(fault& next, time_point started_at);
    asio::awaitable<void> independent_phase(std::chrono::seconds length, bool planned_only);
    asio::awaitable<void> maintain();
    asio::awaitable<void> poll_readiness(proxy_process& proxy);
    asio::awaitable<void> phase(std::chrono::seconds length, bool planned_only);
    asio::awaitable<void> run_after(std::chrono::milliseconds delay, std::function<void()> action);
    asio::awaitable<void> log_loss_phase();
    asio::awaitable<void> store_restore_phase();
    void restore_store(std::chrono::milliseconds age);
    asio::awaitable<void> recover();
    asio::awaitable<void> check_recovered();
    asio::awaitable<void> stop_all();
    void supervise(proxy_process& proxy);
    void publish_registration(emulated_server& server);
    void publish_configuration();
    void record_unplanned_fault();
    void check_disconnect(const tcp::endpoint& proxy, const request& issued);
    void schedule(std::chrono::milliseconds delay, std::function<void()> action);
    std::string drain_server(emulated_server& server);
    [[nodiscard]] std::optional<tcp::endpoint> pick_proxy();
    [[nodiscard]] std::string address(unsigned last) const;
    [[nodiscard]] std::uint64_t random_below(std::uint64_t limit) { return m_random() % limit; }
    [[nodiscard]] std::chrono::milliseconds random_between(std::uint64_t minimum, std::uint64_t maximum) {
        return std::chrono::milliseconds{minimum + random_below(maximum - minimum)};
    }
    proxy_process& random_proxy() { return *m_proxies[random_below(m_proxies.size())]; }
    [[nodiscard]] std::uint64_t independent_below(std::uint64_t limit) { return m_independent_random() % limit; }
    replicated_service& random_service() { return *m_services[random_below(m_services.size())]; }
    emulated_server& random_server() {
        auto& all = random_service().servers();
        return *all[random_below(all.size())];
    }

    asio::io_context& m_io;
    scenario_settings m_settings;
    std::mt19937_64 m_random;
    consistency_checker m_checker;
    std::vector<std::unique_ptr<replicated_service>> m_services;
    std::unique_ptr<metadata_store> m_store;
    std::vector<std::unique_ptr<proxy_process>> m_proxies;
    std::vector<database> m_databases;
    std::vector<std::unique_ptr<caller>> m_callers;
    std::vector<fault> m_faults;
    /// Strike beside the others and draw from a generator of their own, so that
    /// a seed's order of the others stays what it was.
    std::vector<fault> m_independent_faults;
    std::mt19937_64 m_independent_random;
    std::mt19937_64 m_log_loss_random;
    std::mt19937_64 m_store_restore_random;
    std::map<std::string, std::string> m_published;
    std::map<std::string, time_point> m_down_since;
    std::uint64_t m_config_version{10};
    std::uint64_t m_replacements{0};
    time_point m_last_unplanned_fault_at{};
    bool m_stop_callers{false};
    bool m_shutting_down{false};
};

} // namespace cornellever::soak
