#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <jsoncpp/json/value.h>

#include "cornellever/cluster/successor.hpp"
#include "cornellever/core/asio.hpp"
#include "cornellever/core/boot_clock.hpp"
#include "cornellever/session/traffic.hpp"

namespace cornellever::cluster {

/// This proxy's observation of one service.
struct service_observation {
    std::string service;
    routing::primary_observation primary;
    std::optional<routing::freshness_sample> sample;
};

/// A peer's observation of one service's primary, with times on this proxy's clock.
struct peer_observation {
    std::string service;
    /// The primary's server id; empty if the peer cannot reach the primary.
    std::string primary;
    boot_clock::time_point leadership_confirmed_at;
    std::optional<routing::freshness_sample> sample;
    /// The peer, and when the primary last responded to the peer.
    session::proxy_node peer;
    boot_clock::time_point last_contact_at;
    /// The id of the server that the peer reports on, and the highest log position that this server
    /// is known to have reported as the primary.
    std::string reported;
    std::optional<sql::log_position> highest_position;
    /// The peer's load as an owner of connections to the service's servers.
    session::owner_load load{};
};

/// The control plane's access to the state of the traffic thread, which serves the client
/// applications. Every call runs on the traffic thread and returns its result to the thread that
/// made the call. Satisfies the concepts `promotion_servers` and `handover_servers`.
template <routing::link_connector Connector>
class traffic_bridge {
public:
    using traffic = session::traffic<Connector>;

    traffic_bridge(asio::any_io_executor executor, traffic& host) : m_executor{std::move(executor)}, m_host{host} {}

    template <typename Value>
    void update(Value value) {
        asio::post(m_executor, [this, value = std::move(value)]() mutable { m_host.update(std::move(value)); });
    }

    void update(routing::registry servers, boot_clock::time_point before_current_at) {
        asio::post(m_executor, [this, servers = std::move(servers), before_current_at]() mutable {
            m_host.update(std::move(servers), before_current_at);
        });
    }

    void confirm_configuration(boot_clock::time_point at) {
        asio::post(m_executor, [this, at] { m_host.confirm_configuration(at); });
    }

    void set_proxies(std::vector<session::proxy_node> proxies, bool complete) {
        asio::post(m_executor, [this, proxies = std::move(proxies), complete]() mutable {
            m_host.set_proxies(std::move(proxies), complete);
        });
    }

    void update_observations(std::vector<peer_observation> received) {
        asio::post(m_executor, [this, received = std::move(received)] {
            for (const auto& item : received) {
                apply_observation(item);
            }
        });
    }

    /// Records that until `until` no server of the service is suitable to become the primary.
    void note_no_successor(std::string service, boot_clock::time_point until) {
        asio::post(m_executor,
                   [this, service = std::move(service), until] { m_host.pool_for(service).note_no_successor(until); });
    }

    asio::awaitable<std::vector<service_observation>> observations() {
        return asio::co_spawn(m_executor, collect_observations(), asio::use_awaitable);
    }

    asio::awaitable<std::set<std::string, std::less<>>> services_relayed_under_load() {
        return asio::co_spawn(m_executor, collect_relayed_under_load(), asio::use_awaitable);
    }

    /// Runs `produce` on the traffic thread.
    asio::awaitable<Json::Value> describe(std::function<Json::Value()> produce) {
        return asio::co_spawn(m_executor, run(std::move(produce)), asio::use_awaitable);
    }

    asio::awaitable<std::vector<replica_report>> query_replicas(std::string service, std::string old) {
        return asio::co_spawn(m_executor, query_all(std::move(service), std::move(old)), asio::use_awaitable);
    }

    asio::awaitable<std::optional<sql::server_status>> query_status(std::string service, std::string id,
                                                                    std::chrono::milliseconds timeout) {
        return asio::co_spawn(m_executor,
                              run_status_command(std::move(service), std::move(id),
                                                 sql::proxy_command(sql::statement_kind::status), timeout),
                              asio::use_awaitable);
    }

    asio::awaitable<std::optional<sql::server_status>>
    step_down(std::string service, std::string id, std::uint64_t term, std::chrono::milliseconds timeout) {
        sql::command order{.what = {.kind = sql::statement_kind::step_down, .text = std::to_string(term)}};
        return asio::co_spawn(m_executor,
                              run_status_command(std::move(service), std::move(id), std::move(order), timeout),
                              asio::use_awaitable);
    }

    asio::awaitable<bool> await_leadership(std::string service, std::string id, std::chrono::milliseconds timeout) {
        return asio::co_spawn(m_executor, poll_for_leadership(std::move(service), std::move(id), timeout),
                              asio::use_awaitable);
    }

    asio::awaitable<bool> is_primary_now(std::string service, std::string id, std::chrono::milliseconds timeout) {
        return asio::co_spawn(m_executor, confirm_primary(std::move(service), std::move(id), timeout),
                              asio::use_awaitable);
    }

private:
    using pool = typename traffic::pool;

    /// The replies of the queried servers, filled in by one coroutine per server.
    struct query_state {
        explicit query_state(const asio::any_io_executor& executor) : done{executor} {}

        std::vector<replica_report> reports;
        std::size_t pending{0};
        asio::steady_timer done;
    };

    /// A live server responds within a few round trips, unless long statements occupy both of its
    /// statement slots.
    static constexpr std::chrono::milliseconds query_timeout{450};
    static constexpr std::chrono::milliseconds probe_period{50};

    static asio::awaitable<Json::Value> run(std::function<Json::Value()> produce) { co_return produce(); }

    void apply_observation(const peer_observation& received) {
        if (!received.primary.empty()) {
            m_host.record_primary_path(received.service, received.peer, received.last_contact_at);
            m_host.record_owner_load(received.service, received.peer.name, received.load);
        }
        if (received.highest_position) {
            m_host.note_reported_position(received.service, {received.reported, *received.highest_position});
        }
        const auto found = m_host.pools().find(received.service);
        if (found == m_host.pools().end()) {
            return;
        }
        if (received.sample) {
            found->second->add_sample(*received.sample);
        }
        if (!received.primary.empty()) {
            found->second->accept_peer_confirmation(received.primary, received.leadership_confirmed_at);
        }
    }

    asio::awaitable<std::vector<service_observation>> collect_observations() {
        std::vector<service_observation> out;
        for (const auto& [name, backends] : m_host.pools()) {
            // This proxy observes only the services that it uses.
            if (!backends->used()) {
                continue;
            }
            const auto* newest = backends->floor().newest();
            out.push_back({name, backends->observation(),
                           newest == nullptr ? std::nullopt : std::optional<routing::freshness_sample>{*newest}});
        }
        co_return out;
    }

    asio::awaitable<std::set<std::string, std::less<>>> collect_relayed_under_load() {
        co_return m_host.services_relayed_under_load();
    }

    /// Sends a command whose reply is a server status. If the presumed primary turns out to be a
    /// replica, the pool learns it at once, so that the writes wait at this proxy.
    asio::awaitable<std::optional<sql::server_status>>
    run_status_command(std::string service, std::string id, sql::command what, std::chrono::milliseconds timeout) {
        auto& backends = m_host.pool_for(service);
        const auto sent_at = boot_clock::now();
        const auto answer = co_await backends.query(id, std::move(what), timeout);
        const auto status = answer ? Connector::status_of(*answer) : std::nullopt;
        const auto found = backends.entries().find(id);
        if (status && !status->is_primary && id == backends.primary() && found != backends.entries().end()) {
            backends.note_not_primary(*found->second);
            backends.note_position(*found->second, status->received, sent_at);
        }
        co_return status;
    }

    /// Whether the old primary is asked for its log too. A server that was fenced by a proxy which
    /// then died has the longest log. A server that does not answer is not asked, because waiting
    /// for its reply would delay the promotion.
    [[nodiscard]] static bool answers_now(const typename pool::entry& at) {
        constexpr std::chrono::milliseconds max_reply_age{1000};
        return !at.unreachable() && boot_clock::now() - at.last_contact_at < max_reply_age;
    }

    asio::awaitable<void> query_one(pool& backends, std::string id, bool draining, std::shared_ptr<query_state> into) {
        auto answer = co_await backends.query(id, sql::proxy_command(sql::statement_kind::status), query_timeout);
        replica_report report{.id = id, .received = {}, .draining = draining, .answered = answer.has_value()};
        if (answer) {
            if (const auto status = Connector::status_of(*answer)) {
                report.received = status->received;
                report.is_primary = status->is_primary;
                report.is_replica = !status->is_primary;
            } else if (answer->position) {
                // The server is too busy to report its status. It has received at least the part of
                // the log that it has applied.
                report.received = *answer->position;
            }
        }
        into->reports.push_back(std::move(report));
        if (--into->pending == 0) {
            into->done.cancel();
        }
    }

    asio::awaitable<std::vector<replica_report>> query_all(std::string service, std::string old) {
        auto& backends = m_host.pool_for(service);
        auto state = std::make_shared<query_state>(m_executor);
        state->done.expires_after(query_timeout);
        std::vector<std::pair<std::string, bool>> servers;
        for (const auto& [id, at] : backends.entries()) {
            if (id != old || answers_now(*at)) {
                servers.emplace_back(id, at->server.draining);
            }
        }
        state->pending = servers.size();
        for (const auto& [id, draining] : servers) {
            asio::co_spawn(m_executor, query_one(backends, id, draining, state), asio::detached);
        }
        if (!servers.empty()) {
            boost::system::error_code ignored;
            co_await state->done.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        auto reports = state->reports;
        std::erase_if(reports, [&](const auto& item) { return item.id == old && !item.is_replica; });
        for (const auto& [id, draining] : servers) {
            if (id != old && std::ranges::find(reports, id, &replica_report::id) == reports.end()) {
                reports.push_back({.id = id, .received = {}, .draining = draining, .answered = false});
            }
        }
        for (const auto& [id, log_end] : backends.removed_servers()) {
            if (id != old) {
                reports.push_back({.id = id, .received = log_end, .answered = false, .registered = false});
            }
        }
        co_return reports;
    }

    asio::awaitable<bool> confirm_primary(std::string service, std::string id, std::chrono::milliseconds timeout) {
        co_return co_await m_host.pool_for(service).is_primary_now(std::move(id), timeout);
    }

    asio::awaitable<bool> poll_for_leadership(std::string service, std::string id, std::chrono::milliseconds timeout) {
        auto& backends = m_host.pool_for(service);
        backends.note_promoted(id);
        const auto begun = boot_clock::now();
        while (boot_clock::now() - begun < timeout) {
            co_await backends.probe(id);
            const auto observed = backends.observation();
            if (observed.id == id && observed.leadership_confirmed_at >= begun) {
                co_return true;
            }
            co_await sleep_for(probe_period);
        }
        co_return false;
    }

    asio::any_io_executor m_executor;
    traffic& m_host;
};

} // namespace cornellever::cluster
