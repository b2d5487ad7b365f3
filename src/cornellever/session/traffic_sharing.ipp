#pragma once

// Sharing scarce connections with other proxies.

namespace cornellever::session {

template <routing::link_connector Connector>
void traffic<Connector>::set_proxies(std::vector<proxy_place> proxies) {
    m_proxies = std::move(proxies);
    share_connections_anew();
}

template <routing::link_connector Connector>
const ownership& traffic<Connector>::share_of(const std::string& service) {
    auto [at, missing] = m_shares.try_emplace(service);
    const auto limits = m_config.services.find(service);
    if (missing && limits != m_config.services.end() && !m_proxies.empty()) {
        at->second = share_connections(service, limits->second.max_connections, m_proxies);
    }
    return at->second;
}

template <routing::link_connector Connector>
void traffic<Connector>::share_connections_anew() {
    m_shares.clear();
    for (auto& [name, backends] : m_pools) {
        const auto& shared = share_of(name);
        // One that was an owner until now still serves the sessions it has.
        const auto sharers = shared.owners.empty() ? m_proxies.size() : shared.owners.size();
        backends->set_budget(shared.owns(m_name) ? shared.connections_each : 1, sharers);
    }
}

template <routing::link_connector Connector>
bool traffic<Connector>::owns(const std::string& database) {
    const auto route = m_config.routes.find(database);
    return route == m_config.routes.end() || share_of(route->second.service).owns(m_name);
}

/// A proxy that has just started does not know yet who owns connections. If it
/// opened its own meanwhile, after an outage of all proxies each server would
/// be full before its owners came.
template <routing::link_connector Connector>
asio::awaitable<void> traffic<Connector>::await_proxies() {
    const auto until = boot_clock::now() + proxies_limit;
    while (m_proxies.empty() && boot_clock::now() < until) {
        co_await sleep_for(std::chrono::milliseconds{20});
    }
}

template <routing::link_connector Connector>
asio::awaitable<typename traffic<Connector>::relay_ptr> traffic<Connector>::find_owner(const std::string& database,
                                                                                       std::uint64_t session) {
    const auto route = m_config.routes.find(database);
    if (route == m_config.routes.end()) {
        // Removed while the session waited for the proxies to be known.
        co_return nullptr;
    }
    // A copy: proxies may come and go while owners are tried.
    const auto shared = share_of(route->second.service);
    if (shared.owns(m_name)) {
        co_return nullptr;
    }
    for (const auto& owner : relay_order(shared, m_data_center, session)) {
        auto opened = co_await m_connector.open_relay(owner.callers, database, boot_clock::now() + owner_limit);
        if (opened != nullptr) {
            co_return opened;
        }
        log_event(event::connect_failed, "owner=" + owner.name + " database=" + database + " reason=relay");
    }
    co_return nullptr;
}

template <routing::link_connector Connector>
asio::awaitable<sql::reply> traffic<Connector>::relay(conversation& with, typename Connector::relay& owner,
                                                      const sql::request& asked) {
    const auto route = m_config.routes.find(with.state.database);
    const auto limit = route == m_config.routes.end() ? owner_limit : route->second.statement_timeout;
    auto out = co_await owner.ask(asked, boot_clock::now() + limit + owner_slack);
    if (!out) {
        const auto kind = asked.what.kind;
        const bool may_write = kind == sql::statement_kind::write || kind == sql::statement_kind::execute;
        out = unanswered_by_owner(asked, with.relayed_state, may_write);
        const bool unknown = !out->ok() && out->why() == sql::refusal::outcome_unknown;
        log_event(unknown ? event::outcome_unknown : event::request_refused,
                  "request=" + asked.id + " database=" + with.state.database + " reason=owner_gone answer=" +
                      std::string{out->ok() ? "rolled_back" : sql::to_string(out->why())});
    }
    with.relayed_state = out->state;
    co_return *out;
}

} // namespace cornellever::session
