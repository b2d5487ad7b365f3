#include "cornellever/routing/read_floor.hpp"

#include <algorithm>

namespace cornellever::routing {

namespace {

/// Samples that are closer together than this are merged, which keeps the list short. The read floor may then be a log
/// position that the primary reached later than the lowest sufficient position, by at most this time.
constexpr auto min_spacing = std::chrono::milliseconds{40};

/// How long samples are kept: well above the freshness bounds of routes (up to 2.5 s).
constexpr auto retention = std::chrono::seconds{10};

/// The longest delay between a commit on the primary and its application on a replica. The delay is 20 to 50 ms on
/// average and 300 ms at worst.
constexpr auto max_apply_delay = std::chrono::milliseconds{300};

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
    if (m_samples.empty()) {
        // When the proxy has just started, it does not know when the term began and assumes that the term began long
        // ago.
        assume_entries_from(sample.position.number);
    } else if (m_samples.back().position.term < sample.position.term) {
        m_term_start = sample.position.number;
        m_first_entry.reset();
    } else if (sample.position.number > m_term_start) {
        note_commit(sample.position);
    }
    m_samples.push_back(sample);
    while (m_samples.front().asked_at < sample.asked_at - retention) {
        m_samples.pop_front();
    }
}

void read_floor::add_after_promotion(const freshness_sample& sample) {
    // The new primary's log ended at the sample's position, so a log that holds this position holds every commit that
    // was acknowledged earlier and not rolled back.
    const auto superseded = [&](const auto& item) {
        return item.asked_at < sample.asked_at && item.position > sample.position;
    };
    const auto term = m_samples.empty() ? 0 : m_samples.back().position.term;
    while (!m_samples.empty() && superseded(m_samples.back())) {
        m_samples.pop_back();
    }
    if (!m_samples.empty() && m_samples.back().position.term != term) {
        const auto first =
            std::ranges::find_if(m_samples, [&](const auto& item) { return in_current_term(item.position); });
        assume_entries_from(first->position.number);
    }
    add(sample);
}

void read_floor::assume_entries_from(std::uint64_t number) {
    m_term_start = number;
    m_first_entry = number;
}

void read_floor::note_commit(const sql::log_position& at) {
    if (!m_samples.empty() && at.term == m_samples.back().position.term) {
        m_first_entry = std::min(m_first_entry.value_or(at.number), at.number);
    }
}

std::optional<read_floor::time_point> read_floor::reached_at(const sql::log_position& at) const {
    const auto found = std::ranges::find_if(m_samples, [&](const auto& sample) { return sample.position >= at; });
    return found == m_samples.end() ? std::nullopt : std::optional{found->asked_at};
}

std::optional<read_floor::time_point> read_floor::passed_at(const sql::log_position& at) const {
    const auto found = std::ranges::find_if(m_samples, [&](const auto& sample) { return sample.position > at; });
    return found == m_samples.end() ? std::nullopt : std::optional{found->asked_at};
}

bool read_floor::in_current_term(const sql::log_position& at) const {
    return at.term == m_samples.back().position.term;
}

bool read_floor::entry_known(const freshness_sample& sample) const {
    return in_current_term(sample.position) && m_first_entry && sample.position.number >= *m_first_entry;
}

std::deque<freshness_sample>::const_iterator read_floor::first_known(std::size_t first) const {
    return std::find_if(m_samples.begin() + static_cast<std::ptrdiff_t>(first), m_samples.end(),
                        [&](const auto& sample) { return entry_known(sample); });
}

/// Whether the current primary lacked a commit of an older term when it was promoted. Such a commit is no longer
/// guaranteed to any caller, and no log will hold it.
bool read_floor::rolled_back(const sql::log_position& at) const {
    return at.term < m_samples.back().position.term && at.number > m_term_start;
}

// Any sample that is recent enough is sufficient, but logs must hold an entry at its position. Until its first commit,
// a new primary may report the position of its last entry, or its own term with the number of that entry, which is of
// an older term. No log holds the second kind of position. If that were the read floor, replicas that are up to date
// would refuse all reads for 2.5 s after a promotion, and the primary would have to serve these reads. A position of
// the older term remains valid, because a log that holds this position holds everything acknowledged before. Since a
// position of the older term may have been rolled back, a position of the new term replaces it as soon as replicas have
// applied the new one.
sql::log_position read_floor::lowest_sufficient(std::size_t oldest, time_point now) const {
    const auto& first = m_samples[oldest];
    if (entry_known(first)) {
        return first.position;
    }
    const auto known = first_known(oldest);
    const bool settled = known != m_samples.end() && known->asked_at <= now - max_apply_delay;
    if (!settled && !in_current_term(first.position) && !rolled_back(first.position)) {
        return first.position;
    }
    if (known != m_samples.end()) {
        return known->position;
    }
    const auto begin = m_samples.begin() + static_cast<std::ptrdiff_t>(oldest);
    return std::find_if(begin, m_samples.end(), [&](const auto& sample) { return in_current_term(sample.position); })
        ->position;
}

std::optional<sql::log_position> read_floor::floor(time_point now, std::chrono::milliseconds max_staleness,
                                                   const std::optional<sql::log_position>& own_commit) const {
    const auto oldest = std::ranges::find_if(
        m_samples, [&](const freshness_sample& sample) { return sample.asked_at >= now - max_staleness; });
    if (oldest == m_samples.end()) {
        return std::nullopt;
    }
    const auto out = lowest_sufficient(static_cast<std::size_t>(oldest - m_samples.begin()), now);
    if (!own_commit) {
        return out;
    }
    // A new primary reports a position of the previous term until its first commit, so the session's commit may be of a
    // later term than all samples.
    const bool in_earlier_term = own_commit->term < m_samples.back().position.term;
    if (in_earlier_term && in_current_term(out)) {
        // A log that holds an entry of the current term holds all commits of earlier terms that were not rolled back.
        return out;
    }
    if (!rolled_back(*own_commit)) {
        return std::max(out, *own_commit);
    }
    // The session's last commit was rolled back, but an earlier commit of the session may have been kept. A log that
    // holds a sample's position of an older term may lack that earlier commit, while a log that holds any entry of the
    // current term has it.
    const auto known = first_known(0);
    return known == m_samples.end() ? std::nullopt : std::optional{known->position};
}

const freshness_sample* read_floor::newest() const noexcept {
    return m_samples.empty() ? nullptr : &m_samples.back();
}

} // namespace cornellever::routing
