#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <jsoncpp/json/value.h>

#include "cornellever/cluster/successor.hpp"
#include "cornellever/core/asio.hpp"
#include "cornellever/core/boot_clock.hpp"
#include "cornellever/session/traffic.hpp"

namespace cornellever::cluster {

/// What the traffic side sees of one service.
struct service_sight {
    std::string service;
    routing::primary_sight primary;
    std::optional<routing::freshness_sample> sample;
};

/// What a peer saw of one service's primary, in this proxy's own time.
struct peer_sight {
    std::string service;
    /// Empty when the peer does not reach it.
    std::string primary;
    boot_clock::time_point confirmed_at;
    std::optional<routing::freshness_sample> sample;
    /// The peer, and when it last heard that primary.
    session::proxy_node peer;
    boot_clock::time_point heard_at;
    /// The server that the peer reports on, and the furthest position that it
    /// is known to have named while it led.
    std::string reported;
    std::optional<sql::log_position> furthest;
};

/// The traffic side as the control side uses it: every call is carried out on
/// the traffic thread, its answer comes back to the caller's. A model of
/// `promotion_servers`.
template <routing::link_connector Connector>
class traffic_bridge {
public:
    using traffic = session::traffic<Connector>;

    traffic_bridge(asio::any_io_executor executor, traffic& host) : m_executor{std::move(executor)}, m_host{host} {}

    template <typename Value>
    void update(Value value) {
        asio::post(m_executor, [this, value = std::move(value)]() mutable { m_host.update(std::move(value)); });
    }

    void confirm_configuration(boot_clock::time_point at) {
        asio::post(m_executor, [this, at] { m_host.confirm_configuration(at); });
    }

    void set_proxies(std::vector<session::proxy_node> places, bool complete) {
        asio::post(m_executor, [this, places = std::move(places), complete]() mutable {
            m_host.set_proxies(std::move(places), complete);
        });
    }

    void take(std::vector<peer_sight> seen) {
        asio::post(m_executor, [this, seen = std::move(seen)] {
            for (const auto& item : seen) {
                take_one(item);
            }
        });
    }

    asio::awaitable<std::vector<service_sight>> sights() {
        return asio::co_spawn(m_executor, collect(), asio::use_awaitable);
    }

    /// Runs `tell` on the traffic thread.
    asio::awaitable<Json::Value> describe(std::function<Json::Value()> tell) {
        return asio::co_spawn(m_executor, run(std::move(tell)), asio::use_awaitable);
    }

    asio::awaitable<std::vector<replica_report>> survey(std::string service, std::string old) {
        return asio::co_spawn(m_executor, ask_all(std::move(service), std::move(old)), asio::use_awaitable);
    }

    asio::awaitable<bool> await_lead(std::string service, std::string id, std::chrono::milliseconds limit) {
        return asio::co_spawn(m_executor, wait_for(std::move(service), std::move(id), limit), asio::use_awaitable);
    }

    asio::awaitable<bool> leads_now(std::string service, std::string id, std::chrono::milliseconds limit) {
        return asio::co_spawn(m_executor, ask_lead(std::move(service), std::move(id), limit), asio::use_awaitable);
    }

private:
    using pool = typename traffic::pool;

    /// Answers to a survey, filled in by one coroutine a server.
    struct survey_state {
        explicit survey_state(const asio::any_io_executor& executor) : done{executor} {}

        std::vector<replica_report> reports;
        std::size_t pending{0};
        asio::steady_timer done;
    };

    /// A server that answers at all does so in a few round trips, unless its
    /// two slots are taken by long statements.
    static constexpr std::chrono::milliseconds survey_limit{450};
    static constexpr std::chrono::milliseconds probe_period{50};

    static asio::awaitable<Json::Value> run(std::function<Json::Value()> tell) { co_return tell(); }

    void take_one(const peer_sight& seen) {
        if (!seen.primary.empty()) {
            m_host.record_primary_path(seen.service, seen.peer, seen.heard_at);
        }
        if (seen.furthest) {
            m_host.note_told(seen.service, {seen.reported, *seen.furthest});
        }
        const auto found = m_host.pools().find(seen.service);
        if (found == m_host.pools().end()) {
            return;
        }
        if (seen.sample) {
            found->second->add_sample(*seen.sample);
        }
        if (!seen.primary.empty()) {
            found->second->believe(seen.primary, seen.confirmed_at);
        }
    }

    asio::awaitable<std::vector<service_sight>> collect() {
        std::vector<service_sight> out;
        for (const auto& [name, backends] : m_host.pools()) {
            // What was not used has not been looked at.
            if (!backends->used()) {
                continue;
            }
            const auto* newest = backends->floor().newest();
            out.push_back({name, backends->sight(),
                           newest == nullptr ? std::nullopt : std::optional<routing::freshness_sample>{*newest}});
        }
        co_return out;
    }

    asio::awaitable<void> ask_one(pool& backends, std::string id, bool draining, std::shared_ptr<survey_state> into) {
        auto answer = co_await backends.ask(id, sql::own(sql::statement_kind::status), survey_limit);
        replica_report report{.id = id, .received = {}, .draining = draining, .answered = answer.has_value()};
        if (answer) {
            if (const auto status = Connector::status_of(*answer)) {
                report.received = status->received;
                report.leads = status->leads;
            } else if (answer->position) {
                // Too busy to tell; what it has applied it has received.
                report.received = *answer->position;
            }
        }
        into->reports.push_back(std::move(report));
        if (--into->pending == 0) {
            into->done.cancel();
        }
    }

    asio::awaitable<std::vector<replica_report>> ask_all(std::string service, std::string old) {
        auto& backends = m_host.pool_for(service);
        auto state = std::make_shared<survey_state>(m_executor);
        state->done.expires_after(survey_limit);
        std::vector<std::pair<std::string, bool>> servers;
        for (const auto& [id, at] : backends.entries()) {
            if (id != old) {
                servers.emplace_back(id, at->server.draining);
            }
        }
        state->pending = servers.size();
        for (const auto& [id, draining] : servers) {
            asio::co_spawn(m_executor, ask_one(backends, id, draining, state), asio::detached);
        }
        if (!servers.empty()) {
            boost::system::error_code ignored;
            co_await state->done.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        auto reports = state->reports;
        for (const auto& [id, draining] : servers) {
            if (std::ranges::find(reports, id, &replica_report::id) == reports.end()) {
                reports.push_back({.id = id, .received = {}, .draining = draining, .answered = false});
            }
        }
        co_return reports;
    }

    asio::awaitable<bool> ask_lead(std::string service, std::string id, std::chrono::milliseconds limit) {
        co_return co_await m_host.pool_for(service).leads_now(std::move(id), limit);
    }

    asio::awaitable<bool> wait_for(std::string service, std::string id, std::chrono::milliseconds limit) {
        auto& backends = m_host.pool_for(service);
        const auto begun = boot_clock::now();
        while (boot_clock::now() - begun < limit) {
            co_await backends.probe(id);
            const auto sight = backends.sight();
            if (sight.id == id && sight.confirmed_at >= begun) {
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
