#include <algorithm>
#include <iterator>
#include <utility>

#include "scenario.hpp"

// Rounds in which acknowledged commits are in few logs: services with synchronous replicas whose primary is replaced,
// and sessions whose commits are in the logs of two services; and rounds in which all servers of a service leave.

namespace cornellever::soak {

namespace {

using namespace std::chrono_literals;

std::chrono::milliseconds duration_of(const fault_arguments& arguments, std::size_t index) {
    return std::chrono::milliseconds{arguments.values.at(index)};
}

} // namespace

void scenario::list_commit_faults() {
    const auto add = [this](std::string_view name, bool planned, auto inject) {
        m_phase_faults.push_back({name, planned, [] { return std::nullopt; }, std::move(inject)});
    };
    using arguments_view = const fault_arguments&;
    // The server of the next promotion order receives nothing from some time after the order on.
    add("next successor stops receiving", false, [this](arguments_view arguments) {
        service_named(arguments.target).on_promotion_order = [this, arguments](emulated_server& successor) {
            schedule(duration_of(arguments, 0), [this, id = successor.id(), arguments] {
                inject("replication stopped", {id, {arguments.values.at(1)}});
            });
        };
    });
    // New connections work, so the guarantees for planned operations hold.
    add("store connections silenced", true, [this](arguments_view) {
        for (auto& item : m_proxies) {
            item->store_forwarder().blackhole_open_connections();
        }
    });
    add("route moved", true, [this](arguments_view arguments) {
        const auto& found =
            *std::ranges::find_if(m_databases, [&](const auto& item) { return item.name == arguments.target; });
        const auto& other =
            *std::ranges::find_if(m_services, [&](const auto& service) { return service->name() != found.service; });
        m_moved_routes.insert_or_assign(arguments.target, other->name());
        ++m_config_version;
        publish_configuration();
        schedule(duration_of(arguments, 0), [this, name = arguments.target] {
            m_moved_routes.erase(name);
            ++m_config_version;
            publish_configuration();
        });
    });
}

/// One replica receives nothing for some seconds, so that only the other one acknowledges commits. That one drains, is
/// unreachable or has left when the primary crashes; or the primary is replaced for planned work, and the replica that
/// is to follow stops receiving.
asio::awaitable<void> scenario::run_synchronous_phase() {
    const auto draw = [this](std::uint64_t limit) { return m_synchronous_random() % limit; };
    for (int round = 0; round < m_settings.synchronous_rounds; ++round) {
        auto& service = *m_services[draw(m_services.size())];
        const auto& primary = service.primary();
        std::vector<std::string> replicas;
        for (const auto& server : service.servers()) {
            if (server.get() != &primary) {
                replicas.push_back(server->id());
            }
        }
        std::ranges::shuffle(replicas, m_synchronous_random);
        const auto kind = draw(4);
        const auto crash_delay = 1000 + draw(2000);
        const auto length = 5000 + draw(2000);
        if (kind == 0) {
            const auto delay = draw(500);
            const auto stopped_for = 2000 + draw(4000);
            inject("next successor stops receiving", {service.name(), {delay, stopped_for}});
            inject("primary drained", {primary.id(), {}});
        } else {
            inject("replication stopped", {replicas.at(0), {length}});
            const auto other_delay = std::chrono::milliseconds{draw(crash_delay)};
            if (kind == 1) {
                const auto unreachable_for = 1000 + draw(2500);
                schedule_fault(other_delay, "server partitioned", {replicas.at(1), {unreachable_for, 0}});
            } else {
                schedule_fault(other_delay, "server drained", {replicas.at(1), {}});
            }
            const auto downtime = 3000 + draw(6000);
            schedule_fault(std::chrono::milliseconds{crash_delay}, "primary crash", {primary.id(), {downtime}});
        }
        co_await sleep_for(std::chrono::milliseconds{crash_delay + length + 3000 + draw(3000)});
    }
}

/// The replicas of a service apply its commits late while the route of a database whose sessions read their own writes
/// is moved to the other service and back, several times.
asio::awaitable<void> scenario::run_route_phase() {
    const auto draw = [this](std::uint64_t limit) { return m_route_random() % limit; };
    constexpr int moves = 3;
    constexpr std::uint64_t longest_interval = 3000;
    if (m_settings.route_rounds > 0) {
        start_readers_of_own_writes();
    }
    for (int round = 0; round < m_settings.route_rounds; ++round) {
        auto& service = *m_services[draw(m_services.size())];
        for (const auto& server : service.servers()) {
            inject("server falls behind", {server->id(), {500 + draw(1500), moves * longest_interval}});
        }
        for (int i = 0; i < moves; ++i) {
            inject("route moved", {service.name() + "-own", {200 + draw(1000)}});
            co_await sleep_for(std::chrono::milliseconds{1500 + draw(longest_interval - 1500)});
        }
    }
}

/// The open connections of all proxies to the store go silent, and all servers of a service drain one after the other,
/// so that none of them can take over from the primary.
asio::awaitable<void> scenario::run_drain_phase() {
    const auto draw = [this](std::uint64_t limit) { return m_drain_random() % limit; };
    constexpr std::uint64_t until_replaced = 11'000;
    for (int round = 0; round < m_settings.drain_rounds; ++round) {
        auto& service = *m_services[draw(m_services.size())];
        std::vector<std::string> ids;
        std::ranges::transform(service.servers(), std::back_inserter(ids), [](const auto& item) { return item->id(); });
        std::ranges::shuffle(ids, m_drain_random);
        inject("store connections silenced", {});
        co_await sleep_for(std::chrono::milliseconds{draw(500)});
        for (const auto& id : ids) {
            inject("server drained", {id, {}});
            co_await sleep_for(std::chrono::milliseconds{300 + draw(900)});
        }
        co_await sleep_for(std::chrono::milliseconds{until_replaced + draw(2000)});
    }
}

} // namespace cornellever::soak
