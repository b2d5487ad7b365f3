#include "cornellever/cluster/handover_watch.hpp"

namespace cornellever::cluster {

namespace {

using std::chrono::milliseconds;

/// How long a judgement has to be in favour of a handover. In this time every proxy has sent two
/// heartbeats, so that all reports are from this period.
constexpr milliseconds hold{1000};

/// The period over which the rate of catching up is measured.
constexpr milliseconds rate_period{1000};

/// A shorter period of observation gives no rate: a replica may report its position only ten times
/// a second.
constexpr milliseconds min_rate_period{300};

/// The pause after an attempt. Attempts that are given up before the fence cost only a few queries
/// of the servers, and their cause rarely ends sooner.
constexpr milliseconds attempt_pause{3000};

} // namespace

void handover_watch::observe(const routing::primary_observation& observed, time_point now) {
    if (!observed.id.empty() && observed.id != m_primary) {
        if (!m_primary.empty()) {
            m_replaced_at = now;
        }
        m_primary = observed.id;
        m_distances.clear();
    }
    if (!observed.nearest) {
        m_distances.clear();
        return;
    }
    m_distances.push_back({now, observed.nearest->entries});
    while (m_distances.front().at < now - rate_period) {
        m_distances.pop_front();
    }
}

std::optional<milliseconds> handover_watch::primary_known_for(time_point now) const {
    if (!m_replaced_at) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<milliseconds>(now - *m_replaced_at);
}

bool handover_watch::catching_up() const {
    if (m_distances.empty()) {
        return false;
    }
    const auto& first = m_distances.front();
    const auto& last = m_distances.back();
    if (last.entries == 0) {
        return true;
    }
    const std::chrono::duration<double> period = last.at - first.at;
    if (period < min_rate_period || first.entries <= last.entries) {
        return false;
    }
    const auto seconds_left =
        static_cast<double>(last.entries) * period.count() / static_cast<double>(first.entries - last.entries);
    return std::chrono::duration<double>{seconds_left} <= handover_lag_limit;
}

handover_view handover_watch::view_of(const routing::primary_observation& observed) const {
    handover_view out{.waiting = observed.waiting, .statements = observed.statements};
    if (observed.nearest) {
        out.shortest_lag = observed.nearest->lag;
        out.catching_up = catching_up();
    }
    return out;
}

void handover_watch::add_load(const routing::primary_observation& observed, primary_report& report) const {
    const auto view = view_of(observed);
    report.waiting = view.waiting;
    report.statements = view.statements;
    report.shortest_lag = view.shortest_lag;
    report.catching_up = view.catching_up;
}

bool handover_watch::record(const handover_judgement& judged, time_point now) {
    if (judged.hand_over() == m_in_favour_since.has_value()) {
        return false;
    }
    m_in_favour_since = judged.hand_over() ? std::optional{now} : std::nullopt;
    return true;
}

bool handover_watch::is_due(time_point now, milliseconds delay) const {
    return m_in_favour_since && now - *m_in_favour_since >= hold + delay && now >= m_not_before;
}

void handover_watch::note_attempt(time_point now) {
    m_in_favour_since.reset();
    m_not_before = now + attempt_pause;
}

} // namespace cornellever::cluster
