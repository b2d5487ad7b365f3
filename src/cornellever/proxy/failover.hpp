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

/// One backend instance of the database whose primary a failover replaces.
struct group_member {
    std::string key;
    tcp::endpoint address;
    /// True if the instance's VM is leaving (being taken out of service) or the instance is the current primary.
    /// Such an instance is promoted only if the other fenced members are not a majority by themselves. Otherwise a
    /// primary that is cut off from its replicas could be promoted again: its log is the longest because of writes that
    /// no other member holds, but it would still be cut off.
    bool not_preferred{false};
};

/// A database's stored record (its term, its primary and the proxy that claimed the term) with the version of the row
/// that holds the record; version 0 if there is no row yet. The row is in the table of the platform, the external
/// service that keeps the configuration and the list of VMs.
struct versioned_record {
    group_record record;
    std::uint64_t version{0};
};

/// A member's response to `fence`: the term and position of its last log entry.
struct fenced_member {
    group_member member;
    term_position log_end;
};

/// Access to the records in the platform's table, a key-value store with versioned rows.
template <typename T>
concept record_store = requires(T store, std::string_view database, const group_record& record,
                                std::uint64_t expected) {
    /// Reads the record; its version is 0 if there is none.
    { store.read(database) } -> std::same_as<asio::awaitable<result<versioned_record>>>;
    /// Writes the record if the stored version is still `expected` (compare-and-set) and returns the new version.
    { store.write(database, record, expected) } -> std::same_as<asio::awaitable<result<std::uint64_t>>>;
};

/// Calls to the instances of a database.
template <typename T>
concept group_client = requires(T group, const group_member& member, std::span<const group_member> members,
                                std::uint64_t term, std::size_t quorum) {
    /// Makes the primary of `term` refuse new transactions and waits for its open ones to end.
    { group.quiesce(member, term) } -> std::same_as<asio::awaitable<result<void>>>;
    /// Makes the members refuse all terms below `term`. Returns the members that accepted; once `quorum` members have
    /// accepted, waits only briefly for the others. Errors: `fenced` if a member has already accepted a higher term.
    { group.fence(members, term, quorum) } -> std::same_as<asio::awaitable<result<std::vector<fenced_member>>>>;
    /// Makes `member` the primary of `term`, with the other `members` as its replicas.
    { group.promote(member, term, members) } -> std::same_as<asio::awaitable<result<void>>>;
};

/// How long this proxy waits for another proxy that has claimed a term, that is, has reserved it for a promotion by
/// writing the record.
inline constexpr auto default_claim_lease = std::chrono::milliseconds{2000};

/// Maximum number of claims in one run of a failover; further attempts are left to a later run.
inline constexpr int max_claims_per_run = 3;

/// The result of one run of a failover.
struct failover_outcome {
    /// Key of the new primary; empty if no instance was promoted.
    std::string primary;
    std::uint64_t term{0};
    /// The final state of the state chart and the event that led to that state.
    std::string state;
    std::string event;

    [[nodiscard]] bool promoted() const noexcept { return !primary.empty(); }
};

/// Replaces the primary of a database, following the state chart (a state machine read from an INI file) in
/// charts/failover.ini.
///
/// Two primaries can never both acknowledge writes, for three reasons. A term is allocated to one claim by
/// compare-and-set. A promotion requires a majority of the instances to be fenced at that term. A write is acknowledged
/// only when a majority holds it in the term in which it was made (see `confirmer`). Any two majorities share an
/// instance. If that instance was fenced first, it refuses to confirm the old primary's write. If it confirmed the
/// write first, the write is in one of the logs from which the new primary was chosen.
///
/// Safety does not depend on any clock: if a proxy is paused beyond the lease of its claim, the instances refuse the
/// claimed term once they have accepted a higher one. The lease only keeps proxies from attempting the same failover
/// concurrently.
template <record_store Store, group_client Group>
class failover {
public:
    using clock = std::chrono::steady_clock;

    /// `holder` is the name of this proxy; `claim_prefix` is unique to this proxy and starts the identifier of each of
    /// its claims.
    failover(Store& store, Group& group, const state_chart& steps, std::string holder, std::string claim_prefix,
             std::chrono::milliseconds claim_lease = default_claim_lease)
        : m_store{store}
        , m_group{group}
        , m_steps{steps}
        , m_holder{std::move(holder)}
        , m_claim_prefix{std::move(claim_prefix)}
        , m_claim_lease{claim_lease} {}

    /// Runs the state chart for `database` once. `old_primary` is the primary to replace in a planned failover, or
    /// empty if the primary is lost; `known_term` is the highest term that any instance reported.
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

    /// Whether to wait for another proxy's failover: one that is in progress, or one that has just finished and whose
    /// new primary has not yet appeared in this proxy's heartbeats. Returns false once the stored row has not changed
    /// for the claim lease.
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
        // The write's response was lost, and the row may have been written. Read the row back: the claim succeeded if
        // the row holds exactly this claim.
        auto after = co_await m_store.read(current.database);
        if (after && after->record == current.record) {
            current.version = after->version;
            co_return "claimed";
        }
        co_return after ? "held_by_other" : "platform_unreachable";
    }

    asio::awaitable<std::string> quiesce(attempt& current) {
        if (current.old_primary) {
            // The result is ignored: the next step fences the members, which stops the old primary even if it did not
            // respond.
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

    /// Returns the fenced member with the latest `log_end`. Considers only members without `not_preferred` if those
    /// alone are a majority, since a majority includes an instance that holds every acknowledged write; otherwise
    /// considers all.
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
