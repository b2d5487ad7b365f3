#pragma once

// The line of requests that wait for a connection, and what they may expect.

namespace cornellever::routing {

template <link_connector Connector>
asio::awaitable<typename service_pool<Connector>::lease> service_pool<Connector>::acquire(connection_request want) {
    note_use();
    m_named = m_named || !want.account.empty();
    if (auto* found = grab(want); found != nullptr) {
        co_return lease{*this, *found};
    }
    grow(want);
    if (want.primary && m_primary.empty()) {
        seek();
    }
    waiter self{want, want.priority, want.until, boot_clock::now(), asio::steady_timer{m_executor}};
    m_line.join(self);
    turn_away_overtaken(self);
    while (self.granted == nullptr && !self.out_of_time && boot_clock::now() < want.until) {
        self.timer.expires_after(want.until - boot_clock::now());
        boost::system::error_code ignored;
        co_await self.timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (self.granted == nullptr) {
        m_line.leave(self);
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

/// Hands idle connections of a server to those that wait, as far as this
/// proxy's share of the server goes.
template <link_connector Connector>
void service_pool<Connector>::offer(entry& at) {
    const auto now = boot_clock::now();
    auto& items = m_line.items();
    for (auto place = items.begin(); place != items.end();) {
        if (at.gone || at.working() >= statements_at_once(at)) {
            return;
        }
        waiter& next = **place;
        ++place;
        if (suits(next.want, at, now) && serve_one(at, next)) {
            m_line.leave(next);
        }
    }
}

/// Another connection takes the place of one whose answer is overdue, for as
/// long as that one is waited on: from the room that is left for the
/// connections of dead processes, and no more than twice the usual number.
template <link_connector Connector>
void service_pool<Connector>::replace_overdue(entry& at, time_point now) {
    if (!at.mark_overdue(now)) {
        return;
    }
    log_event(event::answer_overdue, "service=" + m_service + " server=" + at.server.id +
                                         " overdue=" + std::to_string(at.overdue()) +
                                         " typical_ms=" + std::to_string(std::llround(at.statement_time.value(now))) +
                                         " waiting=" + std::to_string(m_line.size()));
    offer(at);
    const auto wanted =
        std::ranges::any_of(m_line.items(), [&](const auto* item) { return suits(item->want, at, now); });
    if (!m_named && wanted && may_open(at, now)) {
        open_one(at);
    }
}

template <link_connector Connector>
void service_pool<Connector>::mark_idle_in_transaction(slot& held) {
    held.idle_in_transaction = true;
    offer(*held.server_entry);
}

/// The servers that could run a request now, by their place in `m_entries`.
template <link_connector Connector>
server_set service_pool<Connector>::servers_for(const connection_request& want, time_point now) const {
    server_set out = 0;
    std::size_t place = 0;
    for (const auto& [id, at] : m_entries) {
        if (place < std::numeric_limits<server_set>::digits && suits(want, *at, now)) {
            out |= server_set{1} << place;
        }
        ++place;
    }
    return out;
}

template <link_connector Connector>
std::vector<lane_view> service_pool<Connector>::lanes(time_point now) const {
    std::vector<lane_view> out;
    out.reserve(m_entries.size());
    for (const auto& [id, at] : m_entries) {
        // Where connections are opened for accounts, any but the first makes
        // room for another within a handshake.
        const auto connections = m_named && !at->open_connections.empty() ? m_budget : at->open_connections.size();
        out.push_back({std::min(statements_at_once(*at), connections),
                       std::chrono::duration<double, std::milli>{at->statement_time.value(now)}});
    }
    return out;
}

template <link_connector Connector>
std::vector<waiting_view> service_pool<Connector>::line_view(time_point now) const {
    std::vector<waiting_view> out;
    out.reserve(m_line.size());
    for (const auto* item : m_line.items()) {
        out.push_back({servers_for(item->want, now), item->until});
    }
    return out;
}

template <link_connector Connector>
load_view service_pool<Connector>::expected_load(const connection_request& want, const time_limits& limits) const {
    const auto now = boot_clock::now();
    const auto could = servers_for(want, now);
    const auto usual = together(lanes(now), could);
    load_view out{.connections = usual.statements, .statement_time = usual.statement_time};
    if (m_line.empty()) {
        return out;
    }
    const auto line = line_view(now);
    const auto place = m_line.place_of(want.priority, now + patience(out, limits));
    out.ahead = competing(std::span{line}.first(place), could);
    return out;
}

/// A request that went before others makes their turns later: those that are
/// not expected to get theirs in time any more are told so now, while their
/// callers can still use the time.
template <link_connector Connector>
void service_pool<Connector>::turn_away_overtaken(const waiter& by) {
    const auto& items = m_line.items();
    const auto at = std::ranges::find(items, &by);
    const auto first = static_cast<std::size_t>(std::distance(items.begin(), at)) + 1;
    if (first >= items.size()) {
        return;
    }
    const auto now = boot_clock::now();
    const auto line = line_view(now);
    std::vector<waiter*> late;
    for (const auto place : out_of_time(lanes(now), line, first, now)) {
        late.push_back(*std::next(items.begin(), static_cast<std::ptrdiff_t>(place)));
    }
    for (auto* item : late) {
        m_line.leave(*item);
        item->out_of_time = true;
        item->timer.cancel();
    }
}

} // namespace cornellever::routing
