#include <algorithm>
#include <array>
#include <csignal>
#include <sstream>
#include <stdexcept>

#include "scenario.hpp"

// The kinds of faults that a scenario injects.

namespace cornellever::soak {

namespace {

using namespace std::chrono_literals;

/// Time between the stops of two proxies that are stopped in a row.
constexpr auto stop_interval = 1500ms;
constexpr auto lag_duration = 3s;
constexpr auto latency_duration = 2s;

std::chrono::milliseconds duration_of(const fault_arguments& arguments, std::size_t index = 0) {
    return std::chrono::milliseconds{arguments.values.at(index)};
}

std::vector<std::string> words_of(const std::string& text) {
    std::vector<std::string> out;
    std::istringstream in{text};
    for (std::string word; in >> word;) {
        out.push_back(std::move(word));
    }
    return out;
}

/// Malformed or unexpected rows, as another program might write them into the table of servers.
const std::array<std::string, 9>& malformed_rows() {
    static const std::array<std::string, 9> rows{
        std::string{},
        std::string{"\xff\xfe\x00{", 4},
        std::string{"[]"},
        std::string(3000, '['),
        std::string{R"({"Service":"stock","Address":"127.0.0.1:9","Zone":"walu","Version":"v1","Slots":-1,)"
                    R"("State":"ready","WarmupLeftMs":0,"DbRole":"replica","Seq":1})"},
        std::string{R"({"Service":"stock","Address":"127.0.0.1:9","Zone":"walu","Version":"v1","Slots":2,)"
                    R"("State":"lost","WarmupLeftMs":0,"DbRole":"primary","Seq":1})"},
        std::string{R"({"Service":"badges","Address":"127.0.0.1:9","Zone":7,"Version":"v1","Slots":2,)"
                    R"("State":"ready","WarmupLeftMs":0,"DbRole":"primary","Seq":1})"},
        std::string{R"({"Service":"nobody","Address":"127.0.0.1:9","Zone":"walu","Version":"v1","Slots":2,)"
                    R"("State":"ready","WarmupLeftMs":0,"DbRole":"primary","Seq":1})"},
        std::string{R"({"Service":"stock","Address":"127.0.0.1:9","State":"ready","DbRole":"primary","Seq":1e300})"},
    };
    return rows;
}

} // namespace

void scenario::list_process_faults() {
    const auto stop_one = [this](const std::string& name) {
        auto& proxy = proxy_named(name);
        if (proxy.running() && !proxy.stopping_since) {
            proxy.stopping_since = boot_clock::now();
            proxy.signal(SIGTERM);
        }
    };
    const auto draw_proxy = [this] { return fault_arguments{random_proxy().name(), {}}; };
    m_faults.push_back({"planned stop of a proxy", true, draw_proxy,
                        [stop_one](const auto& arguments) { stop_one(arguments.target); }});
    m_faults.push_back({"planned stop of two proxies", true,
                        [this] {
                            const auto first = random_proxy().name();
                            return fault_arguments{first + " " + random_proxy().name(), {}};
                        },
                        [this, stop_one](const auto& arguments) {
                            const auto names = words_of(arguments.target);
                            stop_one(names.at(0));
                            schedule(stop_interval, [second = names.at(1), stop_one] { stop_one(second); });
                        }});
    m_faults.push_back({"settings reload", true, draw_proxy,
                        [this](const auto& arguments) { proxy_named(arguments.target).signal(SIGHUP); }});
    m_faults.push_back({"proxy killed", false, draw_proxy,
                        [this](const auto& arguments) { proxy_named(arguments.target).signal(SIGKILL); }});
    m_faults.push_back({"several proxies killed", false,
                        [this] {
                            return fault_arguments{names_of_proxies([this] { return random_below(3) != 0; }), {}};
                        },
                        [this](const auto& arguments) {
                            for (const auto& name : words_of(arguments.target)) {
                                proxy_named(name).signal(SIGKILL);
                            }
                        }});
    m_faults.push_back({"proxy paused", false,
                        [this] {
                            const auto name = random_proxy().name();
                            return fault_arguments{name, {random_ms(200, 3000)}};
                        },
                        [this](const auto& arguments) {
                            auto& proxy = proxy_named(arguments.target);
                            proxy.signal(SIGSTOP);
                            proxy.paused_until = boot_clock::now() + duration_of(arguments);
                        }});
}

void scenario::list_server_faults() {
    const auto draw_server = [this] { return fault_arguments{random_server().id(), {}}; };
    const auto draw_server_and_time = [this](std::uint64_t minimum, std::uint64_t maximum) {
        return [this, minimum, maximum] {
            const auto id = random_server().id();
            return fault_arguments{id, {random_ms(minimum, maximum)}};
        };
    };
    const auto drain = [this](const auto& arguments) { drain_server(server_named(arguments.target)); };
    m_faults.push_back({"server drained", true, draw_server, drain});
    m_faults.push_back({"primary drained", true,
                        [this] {
                            return fault_arguments{random_service().primary().id(), {}};
                        },
                        drain});
    m_faults.push_back({"primary crash", false,
                        [this]() -> std::optional<fault_arguments> {
                            auto& server = random_service().primary();
                            if (server.draining || !server.running()) {
                                return std::nullopt;
                            }
                            return fault_arguments{server.id(), {random_ms(500, 5000)}};
                        },
                        [this](const auto& arguments) {
                            auto& server = server_named(arguments.target);
                            if (server.draining || !server.running()) {
                                return;
                            }
                            server.crash();
                            schedule_start(server, duration_of(arguments));
                        }});
    m_faults.push_back({"replication stopped", false, draw_server_and_time(500, 4000), [this](const auto& arguments) {
                            auto& server = server_named(arguments.target);
                            server.replication_stopped = true;
                            schedule(duration_of(arguments), [&server] { server.replication_stopped = false; });
                        }});
    m_faults.push_back({"replication lag", false, draw_server_and_time(200, 3000), [this](const auto& arguments) {
                            auto& server = server_named(arguments.target);
                            server.lag = duration_of(arguments);
                            schedule(lag_duration, [&server] { server.lag = emulated_server::usual_lag; });
                        }});
    m_faults.push_back({"server replies dropped", false,
                        [this] {
                            const auto id = random_server().id();
                            return fault_arguments{id, {1 + random_below(4)}};
                        },
                        [this](const auto& arguments) {
                            server_named(arguments.target).dropped_replies += static_cast<int>(arguments.values.at(0));
                        }});
    m_faults.push_back({"server connections reset", false, draw_server, [this](const auto& arguments) {
                            server_named(arguments.target).forwarder().reset_connections();
                        }});
    m_faults.push_back({"server connections blackholed", false, draw_server, [this](const auto& arguments) {
                            server_named(arguments.target).forwarder().blackhole_open_connections();
                        }});
    m_faults.push_back({"server partitioned", false,
                        [this] {
                            auto target = random_server().id();
                            if (random_below(2) == 0) {
                                target += " " + random_proxy().name();
                            }
                            const auto replies_only = static_cast<std::uint64_t>(random_below(3) == 0);
                            return fault_arguments{target, {random_ms(300, 4000), replies_only}};
                        },
                        [this](const auto& arguments) {
                            const auto names = words_of(arguments.target);
                            std::set<std::string> match_first_bytes;
                            if (names.size() > 1) {
                                match_first_bytes.insert(" " + names[1] + " ");
                            }
                            server_named(names.at(0))
                                .forwarder()
                                .partition_for(duration_of(arguments), arguments.values.at(1) != 0, match_first_bytes);
                        }});
    m_faults.push_back({"server latency", false, draw_server_and_time(20, 300), [this](const auto& arguments) {
                            auto& server = server_named(arguments.target);
                            server.forwarder().faults.delay = duration_of(arguments);
                            schedule(latency_duration, [&server] { server.forwarder().faults.delay = 0ms; });
                        }});
}

void scenario::list_store_faults() {
    m_faults.push_back({"configuration change", true,
                        [this] {
                            return fault_arguments{{}, {1 + random_below(5)}};
                        },
                        [this](const auto& arguments) {
                            m_config_version += arguments.values.at(0);
                            publish_configuration();
                        }});
    m_faults.push_back({"store unavailable", false,
                        [this] {
                            const std::uint64_t status = random_below(2) == 0 ? 503 : 429;
                            return fault_arguments{{}, {random_ms(500, 5000), status}};
                        },
                        [this](const auto& arguments) {
                            m_store->faults.error_status = static_cast<int>(arguments.values.at(1));
                            schedule(duration_of(arguments), [this] { m_store->faults.error_status = 0; });
                        }});
    m_faults.push_back({"store slow", false,
                        [this] {
                            return fault_arguments{{}, {random_ms(50, 500)}};
                        },
                        [this](const auto& arguments) {
                            m_store->faults.delay = duration_of(arguments);
                            schedule(lag_duration, [this] { m_store->faults.delay = 0ms; });
                        }});
    m_faults.push_back({"store responses dropped", false,
                        [this] {
                            const auto dropped = 1 + random_below(3);
                            return fault_arguments{{}, {dropped, random_below(3)}};
                        },
                        [this](const auto& arguments) {
                            m_store->faults.dropped_responses += static_cast<int>(arguments.values.at(0));
                            m_store->faults.delayed_writes += static_cast<int>(arguments.values.at(1));
                        }});
    const auto draw_nothing = [] { return fault_arguments{}; };
    m_faults.push_back(
        {"store change history dropped", false, draw_nothing, [this](const auto&) { m_store->drop_change_history(); }});
    m_faults.push_back({"proxy partitioned from the store", false,
                        [this] {
                            const auto name = random_proxy().name();
                            const auto replies_only = static_cast<std::uint64_t>(random_below(3) == 0);
                            return fault_arguments{name, {random_ms(500, 5000), replies_only}};
                        },
                        [this](const auto& arguments) {
                            proxy_named(arguments.target)
                                .store_forwarder()
                                .partition_for(duration_of(arguments), arguments.values.at(1) != 0, {});
                        }});
    m_faults.push_back({"store connections blackholed", false, draw_nothing, [this](const auto&) {
                            for (auto& item : m_proxies) {
                                item->store_forwarder().blackhole_open_connections();
                            }
                        }});
}

void scenario::list_independent_faults() {
    const auto draw_server = [this] {
        auto& service = *m_services[independent_below(m_services.size())];
        return service.servers()[independent_below(service.servers().size())]->id();
    };
    m_independent_faults.push_back(
        {"foreign row in the server table", true,
         [this] {
             const auto key = "stray-" + std::to_string(independent_below(3));
             const auto row = independent_below(malformed_rows().size());
             return fault_arguments{key, {500 + independent_below(2500), row}};
         },
         [this](const auto& arguments) {
             m_store->put("servers", arguments.target, malformed_rows().at(arguments.values.at(1)));
             schedule(duration_of(arguments), [this, key = arguments.target] { m_store->remove("servers", key); });
         }});
    m_independent_faults.push_back(
        {"server row overwritten", false,
         [this, draw_server] {
             const auto id = draw_server();
             const auto row = independent_below(malformed_rows().size());
             return fault_arguments{id, {300 + independent_below(2500), row}};
         },
         [this](const auto& arguments) {
             auto& server = server_named(arguments.target);
             m_store->put("servers", server.id(), malformed_rows().at(arguments.values.at(1)));
             schedule(duration_of(arguments), [this, &server] { m_published.erase(server.id()); });
         }});
    m_independent_faults.push_back({"server restarted with an empty log", false,
                                    [this, draw_server]() -> std::optional<fault_arguments> {
                                        const auto id = draw_server();
                                        const auto& server = server_named(id);
                                        if (server.draining || !server.running()) {
                                            return std::nullopt;
                                        }
                                        return fault_arguments{id, {20 + independent_below(1500)}};
                                    },
                                    [this](const auto& arguments) {
                                        auto& server = server_named(arguments.target);
                                        if (server.draining || !server.running()) {
                                            return;
                                        }
                                        server.crash_and_lose_log();
                                        schedule_start(server, duration_of(arguments));
                                    }});
}

/// Faults that are injected only by the phases that name them.
void scenario::list_phase_faults() {
    const auto draw_nothing = [] { return std::nullopt; };
    m_phase_faults.push_back({"store restored from a snapshot", false, draw_nothing,
                              [this](const auto& arguments) { restore_store(duration_of(arguments)); }});
    m_phase_faults.push_back({"registration expired", false, draw_nothing, [this](const auto& arguments) {
                                  m_store->remove("servers", arguments.target);
                                  m_published.erase(arguments.target);
                                  m_unregistered_until[arguments.target] = boot_clock::now() + duration_of(arguments);
                              }});
    m_phase_faults.push_back({"end of the faults", true, draw_nothing, [](const auto&) {}});
}

void scenario::list_faults() {
    list_independent_faults();
    list_process_faults();
    const auto process_faults = m_faults.size();
    list_server_faults();
    const auto server_faults = m_faults.size();
    list_store_faults();
    for (std::size_t i = 0; i < m_faults.size(); ++i) {
        // Proxies and the store hold no commits.
        m_faults[i].spares_commits = i < process_faults || i >= server_faults;
    }
    list_phase_faults();
    list_load_faults();
    list_commit_faults();
}

const fault_kind& scenario::kind_named(std::string_view name) const {
    for (const auto* list : {&m_faults, &m_independent_faults, &m_phase_faults}) {
        const auto found = std::ranges::find(*list, name, &fault_kind::name);
        if (found != list->end()) {
            return *found;
        }
    }
    throw std::runtime_error{"unknown kind of fault '" + std::string{name} + "'"};
}

} // namespace cornellever::soak
