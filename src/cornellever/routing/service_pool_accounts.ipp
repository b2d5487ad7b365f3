#pragma once

// When to open a connection for an account, and which idle connection to evict for it. Each of these connections
// belongs to one account.

namespace cornellever::routing {

template <link_connector Connector>
typename service_pool<Connector>::slot*
service_pool<Connector>::eviction_candidate(const entry& at, const std::string& account, bool urgent) const {
    return at.longest_idle([&](const std::string& other) {
        return other != account && (urgent || std::ranges::none_of(m_wait_queue.items(), [&](const auto* item) {
                                        return item->request.account == other;
                                    }));
    });
}

template <link_connector Connector>
bool service_pool<Connector>::may_open_for(const entry& at, const std::string& account, bool urgent,
                                           time_point now) const {
    // If an account had more connections than statements that may run on the server concurrently, the surplus would
    // only take connections from other accounts.
    return now >= at.open_after && at.opening_for.size() < detail::max_openings &&
           at.usable_count(account) < max_concurrency(at) &&
           (has_room(at) || eviction_candidate(at, account, urgent) != nullptr);
}

/// Returns the best server for a new connection of the request's account, or null if no connection may be opened.
template <link_connector Connector>
typename service_pool<Connector>::entry*
service_pool<Connector>::choose_server_to_open(const connection_request& request) {
    const auto now = boot_clock::now();
    std::vector<placement_candidate> candidates;
    std::vector<entry*> at;
    for (auto& [id, item] : m_entries) {
        if (!eligible(request, *item, now) || !may_open_for(*item, request.account, false, now)) {
            continue;
        }
        candidates.push_back(
            {.same_data_center = item->server.data_center == m_data_center,
             .primary = id == m_primary,
             .in_flight = item->in_flight + item->opening,
             .idle = 1,
             .statement_time = std::chrono::duration<double, std::milli>{item->statement_time.value(now)}});
        at.push_back(item.get());
    }
    const auto chosen = place_read(candidates, false);
    return chosen ? at[*chosen] : nullptr;
}

/// Opens a connection for an account. If this proxy already holds as many connections to the server as it may, the
/// least recently used idle connection is evicted. The evicted connection cannot be reused, because the account of a
/// connection is fixed when the connection is opened. Connections that queued requests can use are not evicted unless
/// `urgent` is true.
template <link_connector Connector>
void service_pool<Connector>::open_for_account(entry& at, const std::string& account, bool urgent) {
    if (!has_room(at)) {
        destroy(*eviction_candidate(at, account, urgent));
    }
    at.opening_for.push_back(account);
    open_one(at, account);
}

template <link_connector Connector>
void service_pool<Connector>::note_opened(entry& at, const std::string& account) {
    --at.opening;
    const auto found = std::ranges::find(at.opening_for, account);
    if (found != at.opening_for.end()) {
        at.opening_for.erase(found);
    }
}

/// Whether a request has waited so long that it may evict a connection that other queued requests can use. Opening a
/// connection takes one of the server's execution slots for half as long as a statement, so a free connection normally
/// first serves other requests of its own account. Without this limit, an account with many requests would keep every
/// connection that becomes free and starve accounts with few.
template <link_connector Connector>
bool service_pool<Connector>::has_waited_long(const entry& at, const waiter& item, time_point now) const {
    constexpr double statements = 2.0;
    return std::chrono::duration<double, std::milli>(now - item.enqueued_at).count() >=
           statements * at.statement_time.value(now);
}

/// Grants a waiting request an idle connection of the request's account and returns whether the server had such a
/// connection. If not, a connection is opened for the account, unless one is already being opened.
template <link_connector Connector>
bool service_pool<Connector>::try_serve(entry& at, waiter& next) {
    if (auto* idle = best_idle(at, next.request); idle != nullptr) {
        grant(next, *idle);
        return true;
    }
    const auto now = boot_clock::now();
    const auto& account = next.request.account;
    const bool urgent = has_waited_long(at, next, now);
    const bool already_opening = std::ranges::any_of(m_entries, [&](const auto& item) {
        const auto& opening = item.second->opening_for;
        return std::ranges::find(opening, account) != opening.end() && eligible(next.request, *item.second, now);
    });
    if (m_account_traffic && !already_opening && may_open_for(at, account, urgent, now)) {
        open_for_account(at, account, urgent);
    }
    return false;
}

/// Closes idle connections beyond the budget.
template <link_connector Connector>
void service_pool<Connector>::close_surplus(entry& at, time_point now) {
    while (at.open_connections.size() > m_budget) {
        auto* item = at.longest_idle([](const std::string&) { return true; });
        if (item == nullptr || now - item->returned_at < detail::surplus_after) {
            return;
        }
        destroy(*item);
    }
}

} // namespace cornellever::routing
