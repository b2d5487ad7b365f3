#include <algorithm>
#include <csignal>
#include <cstdio>
#include <stdexcept>
#include <utility>

#include "scenario.hpp"

// Rounds in which a primary cannot serve its callers although it replies to control statements, because its replicas
// are so far behind that it serves all reads, or because it breaks every statement; and rounds in which primaries are
// replaced while their statements take long.

namespace cornellever::soak {

namespace {

using namespace std::chrono_literals;

/// As in the servers' registrations.
constexpr std::size_t slots = 2;
/// Statements that wait for a slot; those beyond it are refused.
constexpr std::size_t statement_queue = 16;

std::chrono::milliseconds duration_of(const fault_arguments& arguments, std::size_t index) {
    return std::chrono::milliseconds{arguments.values.at(index)};
}

} // namespace

replicated_service& scenario::service_named(std::string_view name) {
    const auto found = std::ranges::find(m_services, name, [](const auto& item) { return item->name(); });
    if (found == m_services.end()) {
        throw std::runtime_error{"unknown service '" + std::string{name} + "'"};
    }
    return **found;
}

void scenario::list_load_faults() {
    const auto add = [this](std::string_view name, bool planned, auto inject) {
        m_phase_faults.push_back({name, planned, [] { return std::nullopt; }, std::move(inject), true});
    };
    using arguments_view = const fault_arguments&;
    add("server falls behind", false, [this](arguments_view arguments) {
        auto& server = server_named(arguments.target);
        server.lag = duration_of(arguments, 0);
        schedule(duration_of(arguments, 1), [&server] { server.lag = emulated_server::usual_lag; });
    });
    add("slots limited", false, [this](arguments_view arguments) {
        auto& service = service_named(arguments.target);
        for (auto& server : service.servers()) {
            server->limit_slots(slots, statement_queue, duration_of(arguments, 0));
        }
        schedule(duration_of(arguments, 1), [&service] {
            for (auto& server : service.servers()) {
                server->limit_slots(0, 0, 0ms);
            }
        });
    });
    add("statements broken", false, [this](arguments_view arguments) {
        auto& server = server_named(arguments.target);
        server.breaks_statements = arguments.values.at(1) != 0 ? breakage::hang : breakage::reset;
        schedule(duration_of(arguments, 0), [&server] { server.breaks_statements = breakage::none; });
    });
    // The proxy that makes the primary step down is paused or, without a duration, killed.
    add("handover interrupted", false, [this](arguments_view arguments) {
        service_named(arguments.target).on_step_down = [this, arguments](const std::string& name) {
            schedule(duration_of(arguments, 0), [this, name, pause = duration_of(arguments, 1)] {
                auto& proxy = proxy_named(name);
                proxy.signal(pause > 0ms ? SIGSTOP : SIGKILL);
                if (pause > 0ms) {
                    proxy.paused_until = boot_clock::now() + pause;
                }
            });
        };
    });
    add("expect another primary", true, [this](arguments_view arguments) {
        auto& server = server_named(arguments.target);
        const auto& primary = service_named(server.service_name()).primary();
        if (&primary == &server || !primary.is_primary()) {
            m_checker.report_violation("no handover", server.id() + " was not replaced by another primary in time");
        }
        server.replica_reads = 0;
    });
    add("expect reads of a replica", true, [this](arguments_view arguments) {
        const auto& server = server_named(arguments.target);
        const auto reads = std::to_string(server.replica_reads) + " reads as a replica";
        std::printf("%s executed %s\n", server.id().c_str(), reads.c_str());
        if (server.is_primary() || server.replica_reads < arguments.values.at(0)) {
            m_checker.report_violation("unused replica", server.id() + " executed only " + reads);
        }
    });
}

/// A service's replicas fall 4 to 24 s behind while its callers ask for more than one server runs. In some rounds only
/// one replica is that late, the proxy that hands leadership over is killed or paused meanwhile, another proxy is
/// killed or the store is unavailable.
asio::awaitable<void> scenario::run_overload_phase() {
    const auto draw = [this](std::uint64_t limit) { return m_overload_random() % limit; };
    for (int round = 0; round < m_settings.overload_rounds; ++round) {
        auto& service = *m_services[draw(m_services.size())];
        const auto length = 8000 + draw(5000);
        const auto work = 15 + draw(25);
        inject("slots limited", {service.name(), {work, length}});
        const bool spare_one = draw(6) == 0;
        bool spared = false;
        for (const auto& server : service.servers()) {
            const auto lag = 4000 + draw(20000);
            if (server.get() == &service.primary() || (spare_one && !std::exchange(spared, true))) {
                continue;
            }
            inject("server falls behind", {server->id(), {lag, length}});
        }
        const auto fault_delay = std::chrono::milliseconds{4500 + draw(4000)};
        const auto fault = draw(4);
        if (fault == 0) {
            const auto killed = draw(m_proxies.size());
            schedule_fault(fault_delay, "proxy killed", {m_proxies[killed]->name(), {}});
        } else if (fault == 1) {
            schedule_fault(fault_delay, "store unavailable", {{}, {500 + draw(3000), 503}});
        } else if (fault == 2) {
            const auto interrupted_after = draw(700);
            const auto pause = draw(2) * (500 + draw(3500));
            inject("handover interrupted", {service.name(), {interrupted_after, pause}});
        }
        co_await sleep_for(std::chrono::milliseconds{length + 1000 + draw(3000)});
    }
}

/// A primary resets or hangs every statement of callers while it replies to control statements. In some rounds a
/// replica does too, or a replica is some seconds behind.
asio::awaitable<void> scenario::run_broken_phase() {
    const auto draw = [this](std::uint64_t limit) { return m_broken_random() % limit; };
    for (int round = 0; round < m_settings.broken_rounds; ++round) {
        auto& service = *m_services[draw(m_services.size())];
        const auto length = 3000 + draw(6000);
        const auto hang = draw(2);
        inject("statements broken", {service.primary().id(), {length, hang}});
        const auto& second = *service.servers()[draw(service.servers().size())];
        const auto other = draw(4);
        if (other == 0) {
            const auto second_length = 1000 + draw(length);
            inject("statements broken", {second.id(), {second_length, draw(2)}});
        } else if (other == 1) {
            inject("server falls behind", {second.id(), {500 + draw(8000), length}});
        }
        co_await sleep_for(std::chrono::milliseconds{length + 3000 + draw(4000)});
    }
}

/// Drains the primary, or crashes it after its replicas have stopped receiving its commits.
void scenario::replace_primary(replicated_service& service, bool loses_commits) {
    const auto draw = [this](std::uint64_t limit) { return m_replacement_random() % limit; };
    auto& primary = service.primary();
    if (primary.draining || !primary.running()) {
        return;
    }
    if (!loses_commits) {
        inject("primary drained", {primary.id(), {}});
        return;
    }
    const auto unreplicated = 50 + draw(250);
    for (const auto& server : service.servers()) {
        if (server.get() != &primary) {
            inject("replication stopped", {server->id(), {unreplicated + 100}});
        }
    }
    const auto downtime = 500 + draw(2000);
    schedule_fault(std::chrono::milliseconds{unreplicated}, "primary crash", {primary.id(), {downtime}});
}

/// Starts further callers of the databases whose sessions read their own writes.
void scenario::start_readers_of_own_writes() {
    constexpr std::size_t count = 16;
    for (const auto& item : m_databases) {
        for (std::size_t i = 0; item.reads == freshness::own_writes && i < count; ++i) {
            start_caller({item}, m_replacement_random());
        }
    }
}

/// The primary of a service is replaced several times in a row while its first commits take long and its replicas apply
/// them late. In some rounds a promotion rolls back commits.
asio::awaitable<void> scenario::run_replacement_phase() {
    const auto draw = [this](std::uint64_t limit) { return m_replacement_random() % limit; };
    constexpr std::uint64_t replacements = 4;
    constexpr std::uint64_t longest_interval = 3500;
    constexpr std::uint64_t length = replacements * longest_interval;
    if (m_settings.replacement_rounds > 0) {
        start_readers_of_own_writes();
    }
    for (int round = 0; round < m_settings.replacement_rounds; ++round) {
        auto& service = *m_services[draw(m_services.size())];
        inject("slots limited", {service.name(), {2 + draw(6), length}});
        for (const auto& server : service.servers()) {
            inject("server falls behind", {server->id(), {20 + draw(130), length}});
        }
        const bool loses_commits = draw(3) == 0;
        for (std::uint64_t i = 0; i < replacements; ++i) {
            replace_primary(service, loses_commits && draw(2) == 0);
            co_await sleep_for(std::chrono::milliseconds{1500 + draw(longest_interval - 1500)});
        }
    }
}

} // namespace cornellever::soak
