#pragma once

#include <algorithm>
#include <chrono>
#include <concepts>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "cornellever/core/asio.hpp"
#include "cornellever/core/error.hpp"
#include "cornellever/core/quorum.hpp"
#include "cornellever/core/state_chart.hpp"
#include "cornellever/proxy/group_record.hpp"
#include "cornellever/proxy/term_position.hpp"

namespace cornellever::proxy {

/// One instance of a database in a failover.
struct group_member {
    std::string key;
    tcp::endpoint address;
    /// Not to be promoted while the other members are a majority by themselves: its VM is leaving, or it is the
    /// primary being replaced. A primary cut off from its replicas has the longest log because of writes that no other
    /// member holds; chosen for that, it would be primary again and still be cut off.
    bool not_preferred{false};
};

/// A stored record with its version in the table; 0 if there is no row yet.
struct versioned_record {
    group_record record;
    std::uint64_t version{0};
};

/// A member's answer to `fence`: the end of its log.
struct fenced_member {
    group_member member;
    term_position log_end;
};

/// Access to the platform's table.
template <typename T>
concept record_store = requires(T store, std::string_view database, const group_record& record,
                                std::uint64_t expected) {
    /// Reads the record; its version is 0 if there is none.
    { store.read(database) } -> std::same_as<asio::awaitable<result<versioned_record>>>;
    /// Compare-and-set; returns the new version.
    { store.write(database, record, expected) } -> std::same_as<asio::awaitable<result<std::uint64_t>>>;
};

/// Calls to the instances of a database.
template <typename T>
concept group_client = requires(T group, const group_member& member, std::span<const group_member> members,
                                std::uint64_t term, std::size_t quorum) {
    /// Lets the primary of `term` finish its open transactions and refuse new ones.
    { group.quiesce(member, term) } -> std::same_as<asio::awaitable<result<void>>>;
    /// Makes the members refuse all terms below `term`. Returns those that accepted; once `quorum` members have, waits
    /// only briefly for the others. Errors: `fenced` if a member has already accepted a higher term.
    { group.fence(members, term, quorum) } -> std::same_as<asio::awaitable<result<std::vector<fenced_member>>>>;
    /// Makes `member` the primary of `term`, with the other `members` as its replicas.
    { group.promote(member, term, members) } -> std::same_as<asio::awaitable<result<void>>>;
};

/// How long another proxy's claim is respected.
inline constexpr auto default_claim_lease = std::chrono::milliseconds{2000};

/// Most claims made in one run; further attempts are left to a later run.
inline constexpr int max_claims_per_run = 3;

/// The result of a run.
struct failover_outcome {
    /// The new primary; empty if the run gave up.
    std::string primary;
    std::uint64_t term{0};
    /// The final state of the chart and the event that led to it.
    std::string state;
    std::string event;

    [[nodiscard]] bool promoted() const noexcept { return !primary.empty(); }
};

/// Replaces the primary of a database, following charts/failover.ini.
///
/// Two primaries can never both acknowledge writes: a term is allocated to one claim by compare-and-set; a promotion
/// requires a majority of the instances to be fenced at that term; and a write is acknowledged only when a majority
/// holds it in its own term (see `confirmer`). Any two majorities share an instance. Either that instance was fenced
/// first and refuses to confirm the old primary's write, or it confirmed first and the write is in a log from which
/// the promotion chose. If a claim's holder is paused past its lease, the instances refuse its term; safety does not
/// depend on any clock. The lease only keeps proxies from racing each other.
template <record_store Store, group_client Group>
class failover {
public:
    using clock = std::chrono::steady_clock;

    /// `holder` names this proxy; `claim_prefix` is unique to it and identifies its claims.
    failover(Store& store, Group& group, const state_chart& steps, std::string holder, std::string claim_prefix,
             std::chrono::milliseconds claim_lease = default_claim_lease)
        : m_store{store}
        , m_group{group}
        , m_steps{steps}
        , m_holder{std::move(holder)}
        , m_claim_prefix{std::move(claim_prefix)}
        , m_claim_lease{claim_lease} {}

    /// Runs the chart for `database` once. `old_primary` is the primary to replace in a planned failover, or empty if
    /// the primary is lost; `known_term` is the highest term that any instance reported.
    asio::awaitable<failover_outcome> run(std::string database, std::vector<group_member> members,
                                          std::optional<group_member> old_primary, std::uint64_t known_term) {
        attempt current{.database = std::move(database),
                        .members = std::move(members),
                        .old_primary = std::move(old_primary),
                        .known_term = known_term};
        std::string state = m_steps.start();
        std::string event;
        while (!m_steps.action(state).empty()) {
            event = co_await run_action(m_steps.action(state), current);
            auto next = m_steps.next(state, event);
            state = next ? *next : std::string{"given_up"};
        }
        co_return failover_outcome{current.succeeded ? current.candidate.key : "", current.record.term, state, event};
    }

private:
    struct attempt {
        std::string database;
        std::vector<group_member> members;
        std::optional<group_member> old_primary;
        std::uint64_t known_term{0};
        group_record record{};
        std::uint64_t version{0};
        std::vector<fenced_member> fenced{};
        group_member candidate{};
        int claims{0};
        bool succeeded{false};
    };

    struct observed_claim {
        std::uint64_t version{0};
        clock::time_point since;
    };

    asio::awaitable<std::string> run_action(std::string_view action, attempt& current) {
        if (action == "claim_term") {
            co_return co_await claim(current);
        }
        if (action == "quiesce_primary") {
            co_return co_await quiesce(current);
        }
        if (action == "fence_members") {
            co_return co_await fence(current);
        }
        if (action == "promote_candidate") {
            co_return co_await promote(current);
        }
        if (action == "record_primary") {
            co_return co_await record(current);
        }
        co_return "unknown_action";
    }

    /// Whether to defer to another proxy's failover: one in progress, or one just finished whose primary this proxy
    /// has not yet seen in a heartbeat.
    [[nodiscard]] bool defers_to_other_claim(const std::string& database, const versioned_record& row,
                                             std::uint64_t known_term) {
        if (row.record.phase != group_phase::promoting && row.record.term <= known_term) {
            m_claims.erase(database);
            return false;
        }
        auto& observed = m_claims[database];
        if (observed.version != row.version) {
            observed = {row.version, clock::now()};
        }
        return clock::now() - observed.since < m_claim_lease;
    }

    asio::awaitable<std::string> claim(attempt& current) {
        if (++current.claims > max_claims_per_run) {
            co_return "held_by_other";
        }
        auto row = co_await m_store.read(current.database);
        if (!row) {
            co_return "platform_unreachable";
        }
        const bool own_retry = current.claims > 1 && row->record == current.record;
        if (!own_retry && defers_to_other_claim(current.database, *row, current.known_term)) {
            co_return "held_by_other";
        }
        current.record = group_record{std::max(row->record.term, current.known_term) + 1, group_phase::promoting, "",
                                      m_holder, m_claim_prefix + "-" + std::to_string(++m_claim_number)};
        auto written = co_await m_store.write(current.database, current.record, row->version);
        if (written) {
            current.version = *written;
            co_return "claimed";
        }
        if (written.error().code == errc::conflict) {
            co_return "held_by_other";
        }
        // The answer was lost, and the row may have been written. Reading it back decides: the claim succeeded if the
        // row holds this very claim.
        auto after = co_await m_store.read(current.database);
        if (after && after->record == current.record) {
            current.version = after->version;
            co_return "claimed";
        }
        co_return after ? "held_by_other" : "platform_unreachable";
    }

    asio::awaitable<std::string> quiesce(attempt& current) {
        if (current.old_primary) {
            // Best effort: fencing stops a primary that did not answer.
            (void)co_await m_group.quiesce(*current.old_primary, current.known_term);
        }
        co_return "quiesced";
    }

    asio::awaitable<std::string> fence(attempt& current) {
        const auto quorum = majority_of(current.members.size());
        auto fenced = co_await m_group.fence(current.members, current.record.term, quorum);
        if (!fenced) {
            co_return fenced.error().code == errc::fenced ? "superseded" : "no_majority";
        }
        current.fenced = std::move(*fenced);
        if (current.fenced.size() < quorum) {
            co_return "no_majority";
        }
        current.candidate = choose(current.fenced, quorum);
        co_return "majority_fenced";
    }

    /// The member with the longest log among the preferred ones if those alone are a majority (and so hold every
    /// acknowledged write), else among all.
    [[nodiscard]] static group_member choose(std::span<const fenced_member> fenced, std::size_t quorum) {
        const auto preferred = [](const fenced_member& item) { return !item.member.not_preferred; };
        const bool preferred_suffice = std::cmp_greater_equal(std::ranges::count_if(fenced, preferred), quorum);
        const fenced_member* best = nullptr;
        for (const auto& item : fenced) {
            if ((preferred(item) || !preferred_suffice) && (best == nullptr || item.log_end > best->log_end)) {
                best = &item;
            }
        }
        return best->member;
    }

    asio::awaitable<std::string> promote(attempt& current) {
        auto promoted = co_await m_group.promote(current.candidate, current.record.term, current.members);
        if (promoted) {
            current.succeeded = true;
            co_return "promoted";
        }
        co_return promoted.error().code == errc::fenced ? "superseded" : "answer_lost";
    }

    asio::awaitable<std::string> record(attempt& current) {
        auto final_record = current.record;
        final_record.phase = group_phase::settled;
        final_record.primary = current.candidate.key;
        auto written = co_await m_store.write(current.database, final_record, current.version);
        if (written) {
            co_return "recorded";
        }
        co_return written.error().code == errc::conflict ? "superseded" : "platform_unreachable";
    }

    Store& m_store;
    Group& m_group;
    const state_chart& m_steps;
    std::string m_holder;
    std::string m_claim_prefix;
    std::chrono::milliseconds m_claim_lease;
    std::uint64_t m_claim_number{0};
    std::map<std::string, observed_claim> m_claims;
};

} // namespace cornellever::proxy
