#include "scenario.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <regex>

#include "cornellever/rpc/envelope.hpp"
#include "platform/http_client.hpp"

namespace cornellever::soak {

namespace {

using namespace std::chrono_literals;

/// A proxy has to end within this time after SIGTERM (`grace_s` of its settings).
constexpr auto grace_period = 6s;
/// An interrupted request counts as a violation of a planned stop only when no
/// unplanned fault occurred for this long.
constexpr auto quiet_period = 4s;
/// A request without a reply for longer than this had been read by the proxy.
constexpr auto in_flight_allowance = 200ms;
/// From the start of a process until its signal handlers are installed.
constexpr auto startup_time = 150ms;
/// No statement may begin at a server this long after it started draining; the
/// server stops shortly after that.
constexpr auto new_work_cutoff = 7000ms;
constexpr auto drain_duration = 7500ms;
/// The row of a server that is down is removed after this time.
constexpr auto registration_ttl = 3600ms;
/// Time without faults after which all services have to work again.
constexpr auto recovery_time = 10s;
/// The last record of a fault file, so that a replay lasts as long as the run that wrote the file.
constexpr std::string_view end_of_faults{"end of the faults"};

/// A server's id without the generation that a replacement adds.
std::string base_name(const std::string& id) {
    return id.substr(0, id.find("-g"));
}

} // namespace

scenario::scenario(asio::io_context& io, scenario_settings settings)
    : m_io{io}
    , m_settings{std::move(settings)}
    , m_random{m_settings.seed}
    , m_independent_random{~m_settings.seed}
    , m_log_loss_random{m_settings.seed ^ 0x656d7074U}
    , m_store_restore_random{m_settings.seed ^ 0x72657475U}
    , m_isolation_random{m_settings.seed ^ 0x69736f6cU}
    , m_overload_random{m_settings.seed ^ 0x6f766572U}
    , m_broken_random{m_settings.seed ^ 0x62726f6bU}
    , m_replacement_random{m_settings.seed ^ 0x7265706cU}
    , m_synchronous_random{m_settings.seed ^ 0x73796e63U}
    , m_route_random{m_settings.seed ^ 0x726f7574U}
    , m_drain_random{m_settings.seed ^ 0x64726e64U}
    , m_fault_file{m_settings.folder / "faults.txt"} {
    if (!m_settings.replay.empty()) {
        m_replayed = read_faults(m_settings.replay);
    }
    const auto make_endpoint = [this](unsigned last, unsigned short port) {
        return tcp::endpoint{asio::ip::make_address(address(last)), port};
    };
    unsigned next_server = 100;
    for (const auto* name : {"stock", "badges"}) {
        std::vector<tcp::endpoint> addresses;
        for (int i = 0; i < 3; ++i) {
            addresses.push_back(make_endpoint(next_server++, 8100));
        }
        m_services.push_back(std::make_unique<replicated_service>(io, m_checker, name, addresses));
        m_services.back()->synchronous_replicas = m_settings.synchronous_rounds > 0 ? 1 : 0;
        const std::string service{name};
        m_databases.push_back({service + "-strict", service, freshness::primary, 0ms});
        m_databases.push_back({service + "-bounded", service, freshness::bounded, 1500ms});
        m_databases.push_back({service + "-own", service, freshness::own_writes, 2500ms});
    }
    const auto promote = [this](const std::string& service, const std::string& id, const std::string& holder,
                                std::uint64_t token) {
        for (auto& item : m_services) {
            if (item->name() == service) {
                return item->promote(id, holder, token);
            }
        }
        return false;
    };
    m_store = std::make_unique<metadata_store>(io, make_endpoint(1, 8000), promote);
    constexpr std::array data_centers{"walu", "laucala", "nabua"};
    for (unsigned i = 0; i < m_settings.proxies; ++i) {
        m_proxies.push_back(std::make_unique<proxy_process>(
            io, m_settings.binary, m_settings.folder, "proxy-" + std::to_string(i), data_centers.at(i % 3),
            address(10 + i), make_endpoint(10, 8003), make_endpoint(1, 8000)));
    }
    list_faults();
}

std::string scenario::address(unsigned last) const {
    constexpr std::uint64_t per_block = 250;
    return "127." + std::to_string(60 + m_settings.seed / per_block % 100) + "." +
           std::to_string(1 + m_settings.seed % per_block) + "." + std::to_string(last);
}

asio::awaitable<void> scenario::run_after(std::chrono::milliseconds delay, std::function<void()> action) {
    co_await sleep_for(delay);
    action();
}

void scenario::schedule(std::chrono::milliseconds delay, std::function<void()> action) {
    asio::co_spawn(m_io, run_after(delay, std::move(action)), asio::detached);
}

void scenario::publish_configuration() {
    Json::Value out;
    out["Version"] = static_cast<Json::UInt64>(m_config_version);
    constexpr std::array kinds{"primary", "bounded_staleness", "read_your_writes"};
    for (const auto& item : m_databases) {
        Json::Value route;
        route["Host"] = item.name;
        const auto moved = m_moved_routes.find(item.name);
        route["Service"] = moved == m_moved_routes.end() ? item.service : moved->second;
        route["Kind"] = kinds.at(static_cast<std::size_t>(item.reads));
        route["TimeoutMs"] = 1200;
        route["TargetLatencyMs"] = 200;
        route["MaxStalenessMs"] = static_cast<Json::Int64>(item.max_staleness.count());
        route["Priority"] = 1;
        out["Routes"].append(std::move(route));
    }
    for (const auto& item : m_services) {
        Json::Value service;
        service["Name"] = item->name();
        service["MaxConnections"] = static_cast<Json::UInt64>(item->max_connections);
        service["SyncReplicas"] = item->synchronous_replicas;
        out["Services"].append(std::move(service));
    }
    out["Limits"]["TxIdleMs"] = 1500;
    m_store->put("op", "config", rpc::to_text(out));
}

void scenario::publish_registration(emulated_server& server) {
    if (!m_store->available() || boot_clock::now() < m_unregistered_until[server.id()]) {
        return;
    }
    auto& published = m_published[server.id()];
    if (!server.running()) {
        const auto since = m_down_since.try_emplace(server.id(), boot_clock::now()).first->second;
        if (!published.empty() && boot_clock::now() - since > registration_ttl) {
            published.clear();
            m_store->remove("servers", server.id());
        }
        return;
    }
    m_down_since.erase(server.id());
    auto now = server.registration();
    if (published != now) {
        m_store->put("servers", server.id(), now);
        published = std::move(now);
    }
}

void scenario::supervise(proxy_process& proxy) {
    const auto now = boot_clock::now();
    if (proxy.paused_until && now >= *proxy.paused_until) {
        proxy.signal(SIGCONT);
        proxy.paused_until.reset();
    }
    if (proxy.stopping_since && now - *proxy.stopping_since > grace_period && !proxy.paused_until && proxy.running()) {
        m_checker.report_violation("exit", proxy.name() + " did not end within its grace period");
        proxy.signal(SIGKILL);
    }
    if (const auto code = proxy.poll_exit()) {
        const bool killed = WIFSIGNALED(*code) && WTERMSIG(*code) == SIGKILL;
        // SIGTERM arrived while the program was still being loaded.
        const bool not_yet_handling_signals =
            proxy.stopping_since && *proxy.stopping_since - proxy.started_at < startup_time && *code == SIGTERM;
        if (!killed && !not_yet_handling_signals && !(proxy.stopping_since && *code == 0)) {
            m_checker.report_violation("exit",
                                       proxy.name() + " exited unexpectedly with status " + std::to_string(*code));
        }
        proxy.stopping_since.reset();
        proxy.restart_at = now + random_between(200, 900);
    }
    if (proxy.restart_at && now >= *proxy.restart_at && !m_shutting_down) {
        proxy.start();
    }
}

asio::awaitable<void> scenario::supervise_all() {
    for (;;) {
        for (auto& item : m_proxies) {
            supervise(*item);
        }
        for (auto& service : m_services) {
            for (auto& server : service->servers()) {
                publish_registration(*server);
            }
        }
        co_await sleep_for(20ms);
    }
}

/// The load balancer's readiness probe: two failures in a row take a proxy out
/// of rotation.
asio::awaitable<void> scenario::poll_readiness(proxy_process& proxy) {
    for (;;) {
        platform::http_client client{m_io.get_executor(), proxy.readiness_endpoint()};
        const platform::http_request probe{.verb = http::verb::get, .target = "/ready"};
        const auto response = co_await client.call(probe, 700ms);
        const bool healthy = response && response->status == 200;
        proxy.missed_checks = healthy ? 0 : proxy.missed_checks + 1;
        proxy.in_rotation = healthy || (proxy.in_rotation && proxy.missed_checks < 2);
        co_await sleep_for(1000ms);
    }
}

std::optional<tcp::endpoint> scenario::pick_proxy() {
    std::vector<tcp::endpoint> ready;
    for (const auto& item : m_proxies) {
        if (item->in_rotation) {
            ready.push_back(item->caller_endpoint());
        }
    }
    if (ready.empty()) {
        return random_proxy().caller_endpoint();
    }
    return ready[random_below(ready.size())];
}

void scenario::check_disconnect(const tcp::endpoint& proxy, const request& issued) {
    const auto now = boot_clock::now();
    // A close may cross with a request in flight, which the proxy never read.
    const bool was_read = m_checker.was_executed(issued.id) || now - issued.sent_at > in_flight_allowance;
    for (const auto& item : m_proxies) {
        const bool stopping = item->caller_endpoint() == proxy && item->stopping_since;
        if (stopping && was_read && now - m_last_unplanned_fault_at > quiet_period) {
            m_checker.report_violation("interrupted request",
                                       issued.id + " was interrupted by the planned stop of " + item->name());
        }
    }
}

void scenario::drain_server(emulated_server& server) {
    if (server.draining || !server.running()) {
        return;
    }
    server.draining = true;
    const auto started_at = boot_clock::now();
    if (started_at - m_last_unplanned_fault_at > quiet_period) {
        server.no_new_work_after = started_at + new_work_cutoff;
    }
    schedule(drain_duration, [this, &server] {
        server.crash();
        m_store->remove("servers", server.id());
        m_published.erase(server.id());
        server.draining = false;
        server.no_new_work_after.reset();
        server.assign_id(base_name(server.id()) + "-g" + std::to_string(++m_replacements));
        schedule(800ms, [&server] { server.start(); });
    });
}

proxy_process& scenario::proxy_named(std::string_view name) {
    const auto found = std::ranges::find(m_proxies, name, [](const auto& item) { return item->name(); });
    if (found == m_proxies.end()) {
        throw std::runtime_error{"unknown proxy '" + std::string{name} + "'"};
    }
    return **found;
}

emulated_server& scenario::server_named(const std::string& id) {
    for (auto& service : m_services) {
        for (auto& server : service->servers()) {
            if (base_name(server->id()) == base_name(id)) {
                return *server;
            }
        }
    }
    throw std::runtime_error{"unknown server '" + id + "'"};
}

std::string scenario::names_of_proxies(const std::function<bool()>& selected) const {
    std::string out;
    for (const auto& item : m_proxies) {
        if (selected()) {
            out += (out.empty() ? "" : " ") + item->name();
        }
    }
    return out;
}

/// A primary restarts with an empty log shortly before, while or after some,
/// most or all proxies are killed; in some rounds a second server of the
/// service does too.
asio::awaitable<void> scenario::run_log_loss_phase() {
    const auto draw = [this](std::uint64_t limit) { return m_log_loss_random() % limit; };
    for (int round = 0; round < m_settings.log_loss_rounds; ++round) {
        auto& service = *m_services[draw(m_services.size())];
        const auto killed_of_four = 1 + draw(4);
        const auto kill_delay = std::chrono::milliseconds{draw(900)};
        const auto log_loss_delay = std::chrono::milliseconds{draw(900)};
        record_unplanned_fault();
        const auto killed = names_of_proxies([&] { return draw(4) < killed_of_four; });
        schedule_fault(kill_delay, "several proxies killed", {killed, {}});
        const auto downtime = 20 + draw(900);
        const auto lose_log = [this, downtime](const emulated_server& server) {
            inject("server restarted with an empty log", {server.id(), {downtime}});
        };
        schedule(log_loss_delay, [&service, lose_log] { lose_log(service.primary()); });
        if (draw(3) == 0) {
            auto& second = *service.servers()[draw(service.servers().size())];
            schedule(log_loss_delay + std::chrono::milliseconds{500 + draw(3000)},
                     [&second, lose_log] { lose_log(second); });
        }
        co_await sleep_for(std::chrono::milliseconds{4000 + draw(3000)});
    }
}

/// A primary restarts with an empty log while no proxy reaches its replicas and
/// most proxies have just been killed, so that a proxy that started afterwards
/// has no other source for the lost log's length. In some rounds the store is
/// unavailable too, or all proxies are killed.
asio::awaitable<void> scenario::run_isolation_phase() {
    const auto draw = [this](std::uint64_t limit) { return m_isolation_random() % limit; };
    for (int round = 0; round < m_settings.isolation_rounds; ++round) {
        auto& service = *m_services[draw(m_services.size())];
        const auto cut_for = 6000 + draw(4000);
        const auto kill_delay = std::chrono::milliseconds{100 + draw(900)};
        const auto log_loss_delay = std::chrono::milliseconds{100 + draw(1800)};
        const auto downtime = 20 + draw(1500);
        for (const auto& server : service.servers()) {
            if (server.get() != &service.primary()) {
                inject("server partitioned", {server->id(), {cut_for, 0}});
            }
        }
        const bool kill_all = draw(2) == 0;
        schedule_fault(kill_delay, "several proxies killed",
                       {names_of_proxies([&] { return kill_all || draw(4) != 0; }), {}});
        schedule(log_loss_delay, [this, &service, downtime] {
            inject("server restarted with an empty log", {service.primary().id(), {downtime}});
        });
        if (draw(3) == 0) {
            schedule_fault(kill_delay, "store unavailable", {{}, {500 + draw(3000), 503}});
        }
        co_await sleep_for(std::chrono::milliseconds{cut_for + 2000 + draw(2000)});
    }
}

/// Restores the store from a snapshot. After that the operator's configuration
/// and the servers' registrations are written again, and rows of servers that
/// no longer exist are removed.
void scenario::restore_store(std::chrono::milliseconds age) {
    m_store->restore_snapshot(age);
    m_published.clear();
    schedule(300ms, [this] {
        publish_configuration();
        for (const auto& key : m_store->keys("servers")) {
            const bool published = std::ranges::any_of(m_services, [&](const auto& service) {
                return std::ranges::any_of(service->servers(), [&](const auto& item) { return item->id() == key; });
            });
            if (!published) {
                m_store->remove("servers", key);
            }
        }
    });
}

/// The store is unavailable for a short time and is restored from a snapshot
/// some seconds old, in some rounds twice in a row, while the configuration
/// changes and primaries crash.
asio::awaitable<void> scenario::run_store_restore_phase() {
    const auto draw = [this](std::uint64_t limit) { return m_store_restore_random() % limit; };
    for (int round = 0; round < m_settings.store_restore_rounds; ++round) {
        record_unplanned_fault();
        if (draw(2) == 0) {
            inject("configuration change", {{}, {1 + draw(5)}});
        }
        auto& primary = m_services[draw(m_services.size())]->primary();
        const bool crashes = draw(3) != 0 && !primary.draining && primary.running();
        const auto down = 100 + draw(900);
        const auto age = 500 + draw(8000);
        const bool repeat = draw(3) == 0;
        if (crashes) {
            const auto crash_delay = draw(1500);
            const auto restart_delay = 2500 + draw(2500);
            schedule_fault(std::chrono::milliseconds{crash_delay}, "primary crash",
                           {primary.id(), {restart_delay - crash_delay}});
        }
        inject("store unavailable", {{}, {down, 503}});
        schedule_fault(std::chrono::milliseconds{down}, "store restored from a snapshot", {{}, {age}});
        if (repeat) {
            schedule_fault(std::chrono::milliseconds{down + 200 + draw(1500)}, "store restored from a snapshot",
                           {{}, {age / 2}});
        }
        co_await sleep_for(std::chrono::milliseconds{5500 + draw(2000)});
    }
}

/// The guarantees for planned operations hold only without unplanned faults.
void scenario::record_unplanned_fault() {
    m_last_unplanned_fault_at = boot_clock::now();
    for (auto& service : m_services) {
        for (auto& server : service->servers()) {
            server->no_new_work_after.reset();
        }
    }
}

void scenario::inject(std::string_view kind, const fault_arguments& arguments) {
    const auto& selected = kind_named(kind);
    if (!selected.planned) {
        record_unplanned_fault();
    }
    if (!selected.planned && !selected.spares_commits) {
        std::ranges::for_each(m_services, [](auto& service) { service->record_hard_fault(); });
    }
    selected.inject(arguments);
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(boot_clock::now() - m_callers_started_at);
    const auto line = to_line({at, std::string{kind}, arguments});
    m_fault_file << line << std::endl;
    std::printf("%s\n", line.c_str());
}

/// Draws a fault of one of `kinds`, chosen by `index`, and injects it.
void scenario::inject_drawn(const std::vector<fault_kind>& kinds, std::uint64_t index, bool planned_only) {
    const auto& selected = kinds.at(index);
    if (planned_only && !selected.planned) {
        return;
    }
    if (const auto arguments = selected.draw()) {
        inject(selected.name, *arguments);
    }
}

void scenario::schedule_fault(std::chrono::milliseconds delay, std::string_view kind, fault_arguments arguments) {
    schedule(delay, [this, kind, arguments = std::move(arguments)] { inject(kind, arguments); });
}

void scenario::schedule_start(emulated_server& server, std::chrono::milliseconds delay) {
    schedule(delay, [&server] {
        if (!server.running()) {
            server.start();
        }
    });
}

asio::awaitable<void> scenario::run_independent_faults(std::chrono::seconds length, bool planned_only) {
    const auto started_at = boot_clock::now();
    for (;;) {
        co_await sleep_for(std::chrono::milliseconds{1500 + independent_below(3000)});
        if (boot_clock::now() - started_at >= length) {
            co_return;
        }
        inject_drawn(m_independent_faults, independent_below(m_independent_faults.size()), planned_only);
    }
}

asio::awaitable<void> scenario::run_fault_phase(std::chrono::seconds length, bool planned_only) {
    asio::co_spawn(m_io, run_independent_faults(length, planned_only), asio::detached);
    const auto started_at = boot_clock::now();
    while (boot_clock::now() - started_at < length) {
        co_await sleep_for(random_between(100, 900));
        inject_drawn(m_faults, random_below(m_faults.size()), planned_only);
    }
}

/// Injects the faults of a file, each at its time.
asio::awaitable<void> scenario::run_replay(std::vector<fault_record> faults) {
    for (const auto& item : faults) {
        co_await sleep_for(
            item.at - std::chrono::duration_cast<std::chrono::milliseconds>(boot_clock::now() - m_callers_started_at));
        if (item.kind != end_of_faults) {
            inject(item.kind, item.arguments);
        }
    }
}

asio::awaitable<void> scenario::recover() {
    m_last_unplanned_fault_at = boot_clock::now();
    m_store->faults = {};
    for (auto& item : m_proxies) {
        item->store_forwarder().faults.partitioned_until = {};
    }
    for (auto& item : m_services) {
        item->on_step_down = nullptr;
        item->on_promotion_order = nullptr;
    }
    co_await sleep_for(recovery_time);
}

asio::awaitable<void> scenario::check_recovered() {
    caller checking{m_checker, m_databases, [] { return std::nullopt; }, [](const auto&, const auto&) {}, 1};
    for (auto& item : m_proxies) {
        for (const auto& target_database : m_databases) {
            bool served = false;
            for (int tries = 0; !served && tries < 3; ++tries) {
                served = co_await checking.probe(item->caller_endpoint(), target_database);
            }
            if (!served) {
                m_checker.report_violation("recovery", item->name() + " does not serve " + target_database.name +
                                                           " after all faults ended");
            }
        }
    }
}

asio::awaitable<void> scenario::stop_all() {
    m_shutting_down = true;
    for (auto& item : m_proxies) {
        if (item->running() && !item->stopping_since) {
            item->stopping_since = boot_clock::now();
            item->signal(SIGTERM);
        }
    }
    const auto started_at = boot_clock::now();
    while (std::ranges::any_of(m_proxies, [](const auto& item) { return item->running(); }) &&
           boot_clock::now() - started_at < grace_period + 2s) {
        co_await sleep_for(50ms);
    }
    for (auto& item : m_proxies) {
        item->signal(SIGKILL);
    }
}

/// Checks that each line of the proxies' logs reports an event, so that no text of a caller begins a line of its own.
void scenario::check_logs() {
    // A line begins with its time, such as 2026-01-31T12:00:00.000.
    const std::regex event_line{R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3} serve [A-Z]+ CL\d{4} )"};
    for (auto& item : m_proxies) {
        std::ifstream log{m_settings.folder / (item->name() + ".log")};
        // The last line may be incomplete.
        for (std::string line, next; std::getline(log, next); line = std::move(next)) {
            if (!line.empty() && !std::regex_search(line, event_line, std::regex_constants::match_continuous)) {
                m_checker.report_violation("log line", item->name() + " logged '" + line.substr(0, 200) + "'");
                break;
            }
        }
    }
}

void scenario::start_caller(std::vector<database> databases, std::uint64_t seed) {
    m_callers.push_back(std::make_unique<caller>(
        m_checker, std::move(databases), [this] { return pick_proxy(); },
        [this](const tcp::endpoint& proxy, const request& issued) { check_disconnect(proxy, issued); }, seed));
    asio::co_spawn(m_io, m_callers.back()->run(m_stop_callers), asio::detached);
}

asio::awaitable<std::size_t> scenario::run() {
    publish_configuration();
    for (auto& service : m_services) {
        for (auto& server : service->servers()) {
            server->start();
        }
    }
    asio::co_spawn(m_io, supervise_all(), asio::detached);
    for (auto& item : m_proxies) {
        item->start();
        asio::co_spawn(m_io, poll_readiness(*item), asio::detached);
    }
    co_await sleep_for(2500ms);
    m_callers_started_at = boot_clock::now();
    for (std::size_t i = 0; i < m_settings.callers; ++i) {
        start_caller(m_databases, m_random());
    }
    if (m_replayed.empty()) {
        co_await run_fault_phase(m_settings.planned, true);
        co_await run_fault_phase(m_settings.faulty, false);
        co_await run_log_loss_phase();
        co_await run_store_restore_phase();
        co_await run_isolation_phase();
        co_await run_overload_phase();
        co_await run_broken_phase();
        co_await run_replacement_phase();
        co_await run_synchronous_phase();
        co_await run_route_phase();
        co_await run_drain_phase();
    } else {
        co_await run_replay(m_replayed);
    }
    inject(end_of_faults, {});
    co_await recover();
    // Under the callers' load a probe may be refused for lack of a free connection.
    m_stop_callers = true;
    co_await sleep_for(1500ms);
    co_await check_recovered();
    co_await stop_all();
    check_logs();
    std::printf("seed %llu: %s\n", static_cast<unsigned long long>(m_settings.seed), m_checker.summary().c_str());
    co_return m_checker.violations();
}

} // namespace cornellever::soak
