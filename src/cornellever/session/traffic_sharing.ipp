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
    co_return co_await open_relay(relay_order(shared, m_data_center, session), database);
}

/// A session at the first of the proxies that takes it.
template <routing::link_connector Connector>
asio::awaitable<typename traffic<Connector>::relay_ptr> traffic<Connector>::open_relay(std::vector<proxy_place> to,
                                                                                       std::string database) {
    for (const auto& peer : to) {
        auto opened = co_await m_connector.open_relay(peer.callers, database, boot_clock::now() + owner_limit);
        if (opened != nullptr) {
            co_return opened;
        }
        log_event(event::connect_failed, "owner=" + peer.name + " database=" + database + " reason=relay");
    }
    co_return nullptr;
}

/// The proxies that reach the primary of a database while this one does not.
template <routing::link_connector Connector>
std::vector<proxy_place> traffic<Connector>::ways_round(const std::string& database, std::uint64_t session) const {
    const auto route = m_config.routes.find(database);
    const auto found = route == m_config.routes.end() ? m_pools.end() : m_pools.find(route->second.service);
    if (found == m_pools.end() || !found->second->primary_silent_for(cut_after)) {
        return {};
    }
    return m_paths.through(found->first, session, boot_clock::now(), found->second->sight().heard_at);
}

/// Tells each pool whether its primary is lost to this proxy alone.
template <routing::link_connector Connector>
void traffic<Connector>::watch_paths() {
    const auto now = boot_clock::now();
    for (auto& [name, backends] : m_pools) {
        const bool silent = backends->primary_silent_for(cut_after);
        backends->set_path_cut(silent && !m_paths.through(name, 0, now, backends->sight().heard_at).empty());
    }
}

/// A session at a proxy that reaches the primary; null where this one does, or
/// none is known to. Two tries at the most: a caller waits meanwhile.
template <routing::link_connector Connector>
asio::awaitable<typename traffic<Connector>::relay_ptr> traffic<Connector>::find_way_round(const std::string& database,
                                                                                           std::uint64_t session) {
    constexpr std::size_t tries = 2;
    auto to = ways_round(database, session);
    to.resize(std::min(to.size(), tries));
    co_return co_await open_relay(std::move(to), database);
}

/// Where a session goes that was opened here.
template <routing::link_connector Connector>
asio::awaitable<typename traffic<Connector>::relay_ptr> traffic<Connector>::find_relay(conversation& with) {
    auto out = co_await find_owner(with.state.database, with.state.id);
    if (out != nullptr) {
        with.where = served_by::owner;
        co_return out;
    }
    out = co_await find_way_round(with.state.database, with.state.id);
    if (out != nullptr) {
        with.where = served_by::way_round;
        log_event(event::session_relayed,
                  "session=" + std::to_string(with.state.id) + " database=" + with.state.database + " reason=path_cut");
    }
    co_return out;
}

/// Whether a session would be placed elsewhere if it were opened now: others
/// own the connections, the path to the primary is cut, or is there again.
template <routing::link_connector Connector>
bool traffic<Connector>::misplaced(const conversation& with) {
    const auto& database = with.state.database;
    switch (with.where) {
    case served_by::owner:
        return false;
    case served_by::way_round:
        return ways_round(database, 0).empty();
    case served_by::itself:
        return !ways_round(database, 0).empty() || (!with.relayed && !owns(database));
    }
    return false;
}

/// Ends sessions at rest whose path was cut, or is there again: their callers
/// open others, which go where they are served.
template <routing::link_connector Connector>
void traffic<Connector>::close_misplaced() {
    for (auto* item : m_sessions) {
        const bool cut_changed = item->where == served_by::way_round || !ways_round(item->state.database, 0).empty();
        if (item->status.resting && cut_changed && misplaced(*item)) {
            item->status.close_if_quiet();
        }
    }
}

template <routing::link_connector Connector>
asio::awaitable<sql::reply> traffic<Connector>::relay(conversation& with, typename Connector::relay& owner,
                                                      const sql::request& asked) {
    const auto route = m_config.routes.find(with.state.database);
    const auto known = state_known_ahead(asked.what.kind, with.relayed_state);
    if (known && route != m_config.routes.end() && owner.pass_on(asked)) {
        with.relayed_state = *known;
        co_return acknowledged(*known);
    }
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
