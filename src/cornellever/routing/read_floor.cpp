#include "cornellever/routing/read_floor.hpp"

#include <algorithm>

namespace cornellever::routing {

namespace {

/// Samples closer together than this are not kept apart: a read's floor may be
/// that much stricter than it needs to be, and the list stays short.
constexpr auto min_spacing = std::chrono::milliseconds{40};

/// Longer than any staleness that routes state today (2.5 s) with room.
constexpr auto keep_for = std::chrono::seconds{10};

} // namespace

void read_floor::add(const freshness_sample& sample) {
    if (!m_samples.empty()) {
        const auto& last = m_samples.back();
        if (sample.position < last.position || sample.asked_at <= last.asked_at) {
            return;
        }
        const bool same_term = m_samples.back().position.term == sample.position.term;
        if (m_samples.size() > 1 && same_term &&
            sample.asked_at - m_samples[m_samples.size() - 2].asked_at < min_spacing) {
            m_samples.back() = sample;
            return;
        }
    }
    if (m_samples.empty() || m_samples.back().position.term < sample.position.term) {
        m_term_began = sample.position.number;
    }
    m_samples.push_back(sample);
    while (m_samples.front().asked_at < sample.asked_at - keep_for) {
        m_samples.pop_front();
    }
}

// A position of an older term may have been rolled back when the present
// primary was promoted; no log would reach it for long. What survived stands
// before the present term's first sample, so that its number is enough. The
// number has to stay: a replica that received nothing counts itself to the new
// term all the same.
sql::log_position read_floor::in_present_term(const sql::log_position& at) const {
    const auto term = m_samples.back().position.term;
    return at.term < term ? sql::log_position{term, std::min(at.number, m_term_began)} : at;
}

std::optional<sql::log_position> read_floor::floor(time_point now, std::chrono::milliseconds max_staleness,
                                                   const std::optional<sql::log_position>& own_commit) const {
    const auto oldest = std::ranges::find_if(
        m_samples, [&](const freshness_sample& sample) { return sample.asked_at >= now - max_staleness; });
    if (oldest == m_samples.end()) {
        return std::nullopt;
    }
    auto out = in_present_term(oldest->position);
    if (own_commit) {
        out = std::max(out, in_present_term(*own_commit));
    }
    return out;
}

const freshness_sample* read_floor::newest() const noexcept {
    return m_samples.empty() ? nullptr : &m_samples.back();
}

} // namespace cornellever::routing
