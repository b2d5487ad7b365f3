#include "cornellever/cluster/handover_judge.hpp"

#include <algorithm>

namespace cornellever::cluster {

namespace {

using std::chrono::milliseconds;

/// How long this proxy must have known a primary that it has seen replace another one. A handover
/// stops writes for up to 1.2 s, so this bounds the time without writes to an eighth.
constexpr milliseconds min_primary_age{10'000};

/// Whether the primary breaks every statement of most owners. A server of which only some statements
/// fail is kept.
bool breaks_statements(const handover_evidence& evidence, const handover_judgement& load) {
    const bool any_succeeds = std::ranges::any_of(
        evidence.views, [](const auto& view) { return view.statements == routing::statement_health::some_break; });
    return !any_succeeds && load.failing > 0 && 2 * load.failing > evidence.owners;
}

handover_reason reason_of(const handover_evidence& evidence, const handover_judgement& load) {
    if (!evidence.enabled) {
        return handover_reason::switched_off;
    }
    if (breaks_statements(evidence, load)) {
        return handover_reason::primary_fails;
    }
    // Fewer waiting requests than one round of statements are served before a handover has ended.
    if (load.waiting == 0 || load.waiting < evidence.slots) {
        return handover_reason::few_waiting;
    }
    if (!evidence.replicas_serve_reads) {
        return handover_reason::no_replica_reads;
    }
    if (evidence.primary_known_for && *evidence.primary_known_for < min_primary_age) {
        return handover_reason::primary_new;
    }
    if (!load.shortest_lag) {
        return handover_reason::no_usable_replica;
    }
    if (*load.shortest_lag <= handover_lag_limit) {
        return handover_reason::replica_current;
    }
    return std::ranges::any_of(evidence.views, &handover_view::catching_up) ? handover_reason::replica_catching_up
                                                                            : handover_reason::replicas_behind;
}

} // namespace

handover_judgement judge_handover(const handover_evidence& evidence) {
    handover_judgement out;
    for (const auto& view : evidence.views) {
        out.waiting += view.waiting;
        out.failing += view.is_owner && view.statements == routing::statement_health::all_break ? 1 : 0;
        if (view.shortest_lag) {
            out.shortest_lag = std::min(*view.shortest_lag, out.shortest_lag.value_or(milliseconds::max()));
        }
    }
    out.reason = reason_of(evidence, out);
    return out;
}

std::string_view to_string(handover_reason why) noexcept {
    switch (why) {
    case handover_reason::replicas_behind:
        return "replicas_behind";
    case handover_reason::primary_fails:
        return "primary_fails";
    case handover_reason::switched_off:
        return "switched_off";
    case handover_reason::no_replica_reads:
        return "no_replica_reads";
    case handover_reason::few_waiting:
        return "few_waiting";
    case handover_reason::primary_new:
        return "primary_new";
    case handover_reason::no_usable_replica:
        return "no_usable_replica";
    case handover_reason::replica_current:
        return "replica_current";
    case handover_reason::replica_catching_up:
        return "replica_catching_up";
    }
    return "unknown";
}

} // namespace cornellever::cluster
