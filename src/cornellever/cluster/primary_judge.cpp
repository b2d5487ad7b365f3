#include "cornellever/cluster/primary_judge.hpp"

#include <algorithm>

namespace cornellever::cluster {

namespace {

using std::chrono::milliseconds;

/// How long ago an unreachable primary must have last replied to count as down if its VM refused a
/// connection because no process listens on the port. The wait covers the case that an existing
/// connection is closed before the refusal arrives. The wait can be short because the refusal shows
/// that the VM itself can be reached.
constexpr milliseconds refused_timeout{150};

/// How long ago an unreachable primary must have last replied to count as down if its VM has not
/// refused a connection. A missing reply may also be caused by a lost packet, which TCP retransmits
/// after 200 ms, or by a pause of the VM on which this proxy runs.
constexpr milliseconds silence_timeout{500};

/// A proxy counts as reaching the primary if the primary replied to the proxy within this time.
/// The time covers two of the queries that proxies send an otherwise idle primary five times a
/// second.
constexpr milliseconds recent_answer{450};

/// How long a proxy waits before it treats an unreachable primary as lost if the proxy knows other
/// proxies but has no report on the primary from a live one. Such a proxy may itself be cut off from
/// the network. The wait lets the other proxies, which would also observe a real failure, act first.
constexpr milliseconds isolated_timeout{2500};

/// How long a primary's registry entry must be missing before the primary is replaced. If the
/// primary is also unreachable, a short time is enough, because the server missed three heartbeats
/// before its entry disappeared. Otherwise the time is longer than the 2 s within which entries are
/// back after an outage of the store itself.
constexpr milliseconds missing_and_unreachable{300};
constexpr milliseconds missing_limit{2600};

bool down(const primary_view& view) {
    return view.unreachable && view.last_answer_age >= (view.refused ? refused_timeout : silence_timeout);
}

bool reaches_primary(const primary_view& view) {
    return !view.unreachable && view.last_answer_age < recent_answer;
}

primary_verdict judge_missing(const primary_evidence& evidence, milliseconds missing) {
    const bool reachable =
        (evidence.own && reaches_primary(*evidence.own)) || std::ranges::any_of(evidence.peers, reaches_primary);
    if (missing >= missing_limit) {
        return reachable ? primary_verdict::leaving : primary_verdict::lost;
    }
    if (missing >= missing_and_unreachable && !reachable && evidence.own && evidence.own->unreachable) {
        return primary_verdict::lost;
    }
    return primary_verdict::fine;
}

} // namespace

primary_verdict judge(const primary_evidence& evidence) {
    if (evidence.entry.missing_for) {
        if (const auto verdict = judge_missing(evidence, *evidence.entry.missing_for);
            verdict != primary_verdict::fine) {
            return verdict;
        }
    }
    if (evidence.own && evidence.own->log_lost) {
        return primary_verdict::lost;
    }
    if (evidence.own && down(*evidence.own)) {
        if (std::ranges::any_of(evidence.peers, reaches_primary)) {
            return primary_verdict::fine;
        }
        if (evidence.peers.empty() && evidence.known_peers > 0) {
            return evidence.own->last_answer_age >= isolated_timeout ? primary_verdict::lost : primary_verdict::fine;
        }
        const auto agreeing = static_cast<std::size_t>(std::ranges::count_if(evidence.peers, down)) + 1;
        const auto voters = evidence.peers.size() + 1;
        if (2 * agreeing > voters) {
            return primary_verdict::lost;
        }
        return primary_verdict::fine;
    }
    return evidence.entry.draining ? primary_verdict::leaving : primary_verdict::fine;
}

} // namespace cornellever::cluster
