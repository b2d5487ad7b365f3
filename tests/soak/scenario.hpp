#pragma once

#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "caller.hpp"
#include "fault.hpp"
#include "metadata_store.hpp"
#include "proxy_process.hpp"
#include "replicated_service.hpp"

namespace cornellever::soak {

/// Options of a soak run.
struct scenario_settings {
    std::string binary;
    std::filesystem::path folder;
    std::uint64_t seed{1};
    /// Duration of the phase with planned operations only.
    std::chrono::seconds planned{6};
    /// Duration of the phase with all faults.
    std::chrono::seconds faulty{12};
    /// Rounds in which a primary loses its log while proxies are killed.
    int log_loss_rounds{0};
    /// Rounds in which the store is restored from an older snapshot.
    int store_restore_rounds{0};
    /// Rounds in which a primary loses its log while its replicas are unreachable.
    int isolation_rounds{0};
    /// Rounds in which a service's replicas fall behind while its callers ask for more than one server runs.
    int overload_rounds{0};
    /// Rounds in which a primary breaks every statement of callers.
    int broken_rounds{0};
    /// Rounds in which the primary of a service is replaced in series while sessions read their own writes.
    int replacement_rounds{0};
    /// Rounds in which a primary with synchronous replicas is replaced while replicas receive nothing, are unreachable
    /// or drain. If there are any, all services have synchronous replicas.
    int synchronous_rounds{0};
    /// Rounds in which the route of a database is moved to another service and back while replicas are behind.
    int route_rounds{0};
    /// Rounds in which all servers of a service drain while the connections to the store are silent.
    int drain_rounds{0};
    /// File of faults to inject instead of drawing them.
    std::filesystem::path replay;
    std::size_t proxies{5};
    std::size_t callers{24};
};

/// A deployment on loopback under fault injection: proxies as real processes,
/// emulated servers and metadata store behind fault-injecting forwarders, and
/// simulated callers. Runs a phase of planned operations only, then one of
/// overlapping faults of all kinds, then a recovery period after which every
/// proxy has to serve every database.
class scenario {
public:
    scenario(asio::io_context& io, scenario_settings settings);

    /// Runs the scenario; returns the number of violations.
    asio::awaitable<std::size_t> run();

private:
    void list_faults();
    void list_process_faults();
    void list_server_faults();
    void list_store_faults();
    void list_independent_faults();
    void list_phase_faults();
    void list_load_faults();
    void list_commit_faults();
    [[nodiscard]] const fault_kind& kind_named(std::string_view name) const;
    /// Injects a fault and appends it to the fault file.
    void inject(std::string_view kind, const fault_arguments& arguments);
    void inject_drawn(const std::vector<fault_kind>& kinds, std::uint64_t index, bool planned_only);
    void schedule_fault(std::chrono::milliseconds delay, std::string_view kind, fault_arguments arguments);
    void schedule_start(emulated_server& server, std::chrono::milliseconds delay);
    asio::awaitable<void> run_independent_faults(std::chrono::seconds length, bool planned_only);
    asio::awaitable<void> supervise_all();
    asio::awaitable<void> poll_readiness(proxy_process& proxy);
    asio::awaitable<void> run_fault_phase(std::chrono::seconds length, bool planned_only);
    asio::awaitable<void> run_after(std::chrono::milliseconds delay, std::function<void()> action);
    asio::awaitable<void> run_log_loss_phase();
    asio::awaitable<void> run_store_restore_phase();
    asio::awaitable<void> run_isolation_phase();
    asio::awaitable<void> run_overload_phase();
    asio::awaitable<void> run_broken_phase();
    asio::awaitable<void> run_replacement_phase();
    asio::awaitable<void> run_synchronous_phase();
    asio::awaitable<void> run_route_phase();
    asio::awaitable<void> run_drain_phase();
    void start_caller(std::vector<database> databases, std::uint64_t seed);
    void start_readers_of_own_writes();
    void replace_primary(replicated_service& service, bool loses_commits);
    asio::awaitable<void> run_replay(std::vector<fault_record> faults);
    void restore_store(std::chrono::milliseconds age);
    asio::awaitable<void> recover();
    asio::awaitable<void> check_recovered();
    asio::awaitable<void> stop_all();
    void check_logs();
    void supervise(proxy_process& proxy);
    void publish_registration(emulated_server& server);
    void publish_configuration();
    void record_unplanned_fault();
    void check_disconnect(const tcp::endpoint& proxy, const request& issued);
    void schedule(std::chrono::milliseconds delay, std::function<void()> action);
    void drain_server(emulated_server& server);
    [[nodiscard]] proxy_process& proxy_named(std::string_view name);
    [[nodiscard]] replicated_service& service_named(std::string_view name);
    /// The server with this id, or its replacement at the same address.
    [[nodiscard]] emulated_server& server_named(const std::string& id);
    /// Names of the proxies for which `selected` returns true, separated by spaces.
    [[nodiscard]] std::string names_of_proxies(const std::function<bool()>& selected) const;
    [[nodiscard]] std::optional<tcp::endpoint> pick_proxy();
    [[nodiscard]] std::string address(unsigned last) const;
    [[nodiscard]] std::uint64_t random_below(std::uint64_t limit) { return m_random() % limit; }
    [[nodiscard]] std::uint64_t random_ms(std::uint64_t minimum, std::uint64_t maximum) {
        return minimum + random_below(maximum - minimum);
    }
    [[nodiscard]] std::chrono::milliseconds random_between(std::uint64_t minimum, std::uint64_t maximum) {
        return std::chrono::milliseconds{random_ms(minimum, maximum)};
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
    std::vector<fault_kind> m_faults;
    /// Injected beside the others with a random generator of their own, so that
    /// the sequence of the others for a given seed does not depend on them.
    std::vector<fault_kind> m_independent_faults;
    std::vector<fault_kind> m_phase_faults;
    std::mt19937_64 m_independent_random;
    std::mt19937_64 m_log_loss_random;
    std::mt19937_64 m_store_restore_random;
    std::mt19937_64 m_isolation_random;
    std::mt19937_64 m_overload_random;
    std::mt19937_64 m_broken_random;
    std::mt19937_64 m_replacement_random;
    std::mt19937_64 m_synchronous_random;
    std::mt19937_64 m_route_random;
    std::mt19937_64 m_drain_random;
    std::ofstream m_fault_file;
    /// The faults of the file that this run replays; empty if it draws its own.
    std::vector<fault_record> m_replayed;
    time_point m_callers_started_at{};
    std::map<std::string, std::string> m_published;
    std::map<std::string, time_point> m_down_since;
    /// Until when servers whose registration has expired do not register again.
    std::map<std::string, time_point> m_unregistered_until;
    std::uint64_t m_config_version{10};
    /// Databases whose routes were moved, and the services that they are routed to.
    std::map<std::string, std::string> m_moved_routes;
    std::uint64_t m_replacements{0};
    time_point m_last_unplanned_fault_at{};
    bool m_stop_callers{false};
    bool m_shutting_down{false};
};

} // namespace cornellever::soak
