#include "cornellever/routing/statement_tally.hpp"

#include <algorithm>
#include <chrono>

namespace cornellever::routing {

namespace {

constexpr std::chrono::milliseconds counted_period{1000};

/// With fewer statements, a lost packet or a connection that had died unnoticed would look like a
/// server that breaks all of them.
constexpr std::ptrdiff_t min_sent = 4;

} // namespace

void statement_tally::note_sent(time_point now) {
    forget_old(now);
    m_sent.push_back(now);
}

void statement_tally::withdraw_sent() {
    if (!m_sent.empty()) {
        m_sent.pop_back();
    }
}

void statement_tally::note_ended(bool succeeded, time_point now) {
    forget_old(now);
    m_ended.push_back({now, succeeded});
}

statement_health statement_tally::health(time_point now) const {
    const auto recent = [now](time_point at) { return now - at < counted_period; };
    const auto succeeded =
        std::ranges::any_of(m_ended, [&](const ending& item) { return item.succeeded && recent(item.at); });
    const auto broke =
        std::ranges::any_of(m_ended, [&](const ending& item) { return !item.succeeded && recent(item.at); });
    if (!broke) {
        return statement_health::unknown;
    }
    if (succeeded) {
        return statement_health::some_break;
    }
    return std::ranges::count_if(m_sent, recent) >= min_sent ? statement_health::all_break : statement_health::unknown;
}

void statement_tally::forget_old(time_point now) {
    while (!m_sent.empty() && now - m_sent.front() >= counted_period) {
        m_sent.pop_front();
    }
    while (!m_ended.empty() && now - m_ended.front().at >= counted_period) {
        m_ended.pop_front();
    }
}

} // namespace cornellever::routing
