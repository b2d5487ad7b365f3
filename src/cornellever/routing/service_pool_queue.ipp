#pragma once

// The wait queue for connections, and the expected waiting times of the queued requests.

namespace cornellever::routing {

template <link_connector Connector>
asio::awaitable<typename service_pool<Connector>::lease> service_pool<Connector>::acquire(connection_request request) {
    note_use();
    m_account_traffic = m_account_traffic || !request.account.empty();
    if (auto* found = check_out(request); found != nullptr) {
        co_return lease{*this, *found};
    }
    open_for_request(request);
    if (request.primary && m_primary.empty()) {
        start_primary_search();
    }
    const auto now = boot_clock::now();
    waiter self{
        request, request.priority, request.until, now, asio::steady_timer{m_executor}, claim_share(request, now)};
    m_wait_queue.enqueue(self);
    reject_overtaken(self);
    while (self.granted == nullptr && !self.too_late && boot_clock::now() < request.until) {
        self.timer.expires_after(request.until - boot_clock::now());
        boost::system::error_code ignored;
        co_await self.timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (self.granted == nullptr) {
        m_wait_queue.dequeue(self);
        co_return lease{};
    }
    co_return lease{*this, *self.granted};
}

template <link_connector Connector>
void service_pool<Connector>::grant(waiter& next, slot& held) {
    held.busy = true;
    next.granted = &held;
    next.timer.cancel();
}

/// Grants idle connections of a server to queued requests, as long as this proxy runs no more statements on the server
/// than it may (see `max_concurrency`).
template <link_connector Connector>
void service_pool<Connector>::serve_queue(entry& at) {
    const auto now = boot_clock::now();
    auto& items = m_wait_queue.items();
    for (auto it = items.begin(); it != items.end();) {
        if (at.retired || at.active_count() >= max_concurrency(at)) {
            return;
        }
        waiter& next = **it;
        ++it;
        if (eligible(next.request, at, now) && try_serve(at, next)) {
            m_wait_queue.dequeue(next);
        }
    }
}

/// Opens replacements for connections whose reply is overdue. The replacements are kept until the overdue replies
/// arrive or time out. They use the fraction of the server's connection limit that is reserved for connections of dead
/// processes, and at most double the number of connections.
template <link_connector Connector>
void service_pool<Connector>::replace_overdue(entry& at, time_point now) {
    if (!at.mark_overdue(now)) {
        return;
    }
    log_event(event::answer_overdue, "service=" + m_service + " server=" + at.server.id +
                                         " overdue=" + std::to_string(at.overdue()) +
                                         " typical_ms=" + std::to_string(std::llround(at.statement_time.value(now))) +
                                         " waiting=" + std::to_string(m_wait_queue.size()));
    serve_queue(at);
    const auto needed =
        std::ranges::any_of(m_wait_queue.items(), [&](const auto* item) { return eligible(item->request, at, now); });
    if (!m_account_traffic && needed && may_open(at, now)) {
        open_one(at);
    }
}

template <link_connector Connector>
void service_pool<Connector>::mark_idle_in_transaction(slot& held) {
    held.idle_in_transaction = true;
    serve_queue(*held.server_entry);
}

/// Returns the servers eligible for a request, as bits whose index is the server's index in `m_entries`.
template <link_connector Connector>
server_set service_pool<Connector>::servers_for(const connection_request& request, time_point now) const {
    server_set out = 0;
    std::size_t index = 0;
    for (const auto& [id, at] : m_entries) {
        if (index < std::numeric_limits<server_set>::digits && eligible(request, *at, now)) {
            out |= server_set{1} << index;
        }
        ++index;
    }
    return out;
}

template <link_connector Connector>
std::vector<server_capacity> service_pool<Connector>::server_capacities(time_point now) const {
    std::vector<server_capacity> out;
    out.reserve(m_entries.size());
    for (const auto& [id, at] : m_entries) {
        // If connections belong to accounts, the pool opens a connection for the account of a waiting request and
        // replaces an idle connection of another account if necessary. This takes only a handshake, so the capacity is
        // limited by the whole budget and not by the number of connections that are open now.
        const auto connections =
            m_account_traffic && !at->open_connections.empty() ? m_budget : at->open_connections.size();
        out.push_back({std::min(max_concurrency(*at), connections),
                       std::chrono::duration<double, std::milli>{at->statement_time.value(now)}});
    }
    return out;
}

template <link_connector Connector>
std::map<int, std::size_t> service_pool<Connector>::waiting_by_priority() const {
    std::map<int, std::size_t> out;
    for (const auto* item : m_wait_queue.items()) {
        ++out[database_priority(item->priority)];
    }
    return out;
}

template <link_connector Connector>
std::vector<queued_request> service_pool<Connector>::queue_snapshot(time_point now) const {
    std::vector<queued_request> out;
    out.reserve(m_wait_queue.size());
    for (const auto* item : m_wait_queue.items()) {
        out.push_back({servers_for(item->request, now), item->until});
    }
    return out;
}

template <link_connector Connector>
load_view service_pool<Connector>::expected_load(const connection_request& request, const time_limits& limits) const {
    const auto now = boot_clock::now();
    const auto eligible_servers = servers_for(request, now);
    const auto capacity = combined_capacity(server_capacities(now), eligible_servers);
    load_view out{.concurrency = capacity.concurrency, .statement_time = capacity.statement_time};
    if (m_wait_queue.empty()) {
        return out;
    }
    const auto queue = queue_snapshot(now);
    const auto queue_index =
        m_wait_queue.queue_position(request.priority, now + max_wait(out, limits), over_share(request, now));
    out.requests_ahead = count_competing(std::span{queue}.first(queue_index), eligible_servers);
    return out;
}

/// Rejects queued requests that are no longer expected to be served in time because `by` was queued ahead of them.
/// Their callers (client applications) can then still use the remaining time.
template <link_connector Connector>
void service_pool<Connector>::reject_overtaken(const waiter& by) {
    const auto& items = m_wait_queue.items();
    const auto at = std::ranges::find(items, &by);
    const auto first = static_cast<std::size_t>(std::distance(items.begin(), at)) + 1;
    if (first >= items.size()) {
        return;
    }
    const auto now = boot_clock::now();
    const auto queue = queue_snapshot(now);
    std::vector<waiter*> late;
    for (const auto index : too_late(server_capacities(now), queue, first, now)) {
        late.push_back(*std::next(items.begin(), static_cast<std::ptrdiff_t>(index)));
    }
    for (auto* item : late) {
        m_wait_queue.dequeue(*item);
        item->too_late = true;
        item->timer.cancel();
    }
}

} // namespace cornellever::routing
