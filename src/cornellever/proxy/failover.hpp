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
#include "cornellever/proxy/write_mark.hpp"

namespace cornellever::proxy {

/// One instance of a database as a failover sees it.
struct group_member {
    std::string key;
    tcp::endpoint address;
    /// Not to lead while the others are a majority by themselves: its
    /// machine is leaving, or it is the primary being replaced. A primary cut
    /// off from its replicas has the longest log, by writes that nobody else
    /// holds; chosen for it, it would lead again, still cut off.
    bool avoided{false};
};

/// A stored record with the version the table gives it (0: no row yet).
struct versioned_record {
    group_record record;
    std::uint64_t version{0};
};

/// What one instance answered to `fence`: where its log ends.
struct fenced_member {
    group_member member;
    write_mark log_end;
};

/// The platform's table as a failover uses it.
template <typename T>
concept record_store = requires(T store, std::string_view database, const group_record& record,
                                std::uint64_t expected) {
    /// The record; a version of 0 when there is none.
    { store.read(database) } -> std::same_as<asio::awaitable<result<versioned_record>>>;
    /// Compare-and-set; the new version.
    { store.write(database, record, expected) } -> std::same_as<asio::awaitable<result<std::uint64_t>>>;
};

/// The instances of a database as a failover uses them.
template <typename T>
concept group_client = requires(T group, const group_member& member, std::span<const group_member> members,
                                std::uint64_t term, std::size_t enough) {
    /// Lets the primary of `term` finish its open transactions and take no new ones.
    { group.quiesce(member, term) } -> std::same_as<asio::awaitable<result<void>>>;
    /// Makes members refuse all terms below `term`; returns those that
    /// agreed, waiting for no more than `enough` for long. `fenced` when a
    /// member already keeps a higher term.
    { group.fence(members, term, enough) } -> std::same_as<asio::awaitable<result<std::vector<fenced_member>>>>;
    /// Makes `member` the primary of `term` over `members`.
    { group.promote(member, term, members) } -> std::same_as<asio::awaitable<result<void>>>;
};

/// How long another proxy's claim is respected.
inline constexpr auto default_claim_lease = std::chrono::milliseconds{2000};

/// Most claims one run makes before leaving the next try to a later run.
inline constexpr int max_claims_per_run = 3;

/// How a run ended.
struct failover_outcome {
    /// The new primary; empty when the run gave up.
    std::string primary;
    std::uint64_t term{0};
    /// The state the chart ended in and the event that led there.
    std::string state;
    std::string event;

    [[nodiscard]] bool promoted() const noexcept { return !primary.empty(); }
};

/// Replaces the primary of a database, following charts/failover.ini.
///
/// Why two primaries can never both acknowledge: a term is allotted to one
/// claim by compare-and-set; a promotion needs a majority of the instances
/// fenced at that term; and a write is acknowledged only when a majority
/// holds it in its own term (see `confirmer`). Two majorities share an
/// instance, so either that instance was fenced first and refuses to confirm
/// the old primary's write, or it confirmed first and the write is in the
/// log of an instance the promotion chose from. A holder that was paused
/// past its lease finds its term refused by the instances; no clock is
/// trusted. The lease only spares proxies racing each other.
template <record_store Store, group_client Group>
class failover {
public:
    using clock = std::chrono::steady_clock;

    /// `holder` names this proxy; `unique` makes its claims recognisable.
    failover(Store& store, Group& group, const state_chart& steps, std::string holder, std::string unique,
             std::chrono::milliseconds claim_lease = default_claim_lease)
        : m_store{store}
        , m_group{group}
        , m_steps{steps}
        , m_holder{std::move(holder)}
        , m_unique{std::move(unique)}
        , m_claim_lease{claim_lease} {}

    /// Runs the chart for `database` once. `old` is the primary of a planned
    /// change, or empty when it is lost; `known_term` the highest term any
    /// instance reported.
    asio::awaitable<failover_outcome> run(std::string database, std::vector<group_member> members,
                                          std::optional<group_member> old, std::uint64_t known_term) {
        attempt now{.database = std::move(database),
                    .members = std::move(members),
                    .old = std::move(old),
                    .known_term = known_term};
        std::string state = m_steps.start();
        std::string event;
        while (!m_steps.action(state).empty()) {
            event = co_await act(m_steps.action(state), now);
            auto next = m_steps.next(state, event);
            state = next ? *next : std::string{"given_up"};
        }
        co_return failover_outcome{now.led ? now.candidate.key : "", now.record.term, state, event};
    }

private:
    struct attempt {
        std::string database;
        std::vector<group_member> members;
        std::optional<group_member> old;
        std::uint64_t known_term{0};
        group_record record{};
        std::uint64_t version{0};
        std::vector<fenced_member> fenced{};
        group_member candidate{};
        int claims{0};
        bool led{false};
    };

    struct seen_claim {
        std::uint64_t version{0};
        clock::time_point since;
    };

    asio::awaitable<std::string> act(std::string_view action, attempt& now) {
        if (action == "claim_term") {
            co_return co_await claim(now);
        }
        if (action == "quiesce_primary") {
            co_return co_await quiesce(now);
        }
        if (action == "fence_members") {
            co_return co_await fence(now);
        }
        if (action == "promote_candidate") {
            co_return co_await promote(now);
        }
        if (action == "record_primary") {
            co_return co_await record(now);
        }
        co_return "unknown_action";
    }

    /// Whether another proxy's change is to be left alone for now: one under
    /// way, or one just finished whose primary this proxy has not heard yet.
    [[nodiscard]] bool respects_other_claim(const std::string& database, const versioned_record& row,
                                            std::uint64_t known_term) {
        if (row.record.phase != group_phase::promoting && row.record.term <= known_term) {
            m_claims.erase(database);
            return false;
        }
        auto& seen = m_claims[database];
        if (seen.version != row.version) {
            seen = {row.version, clock::now()};
        }
        return clock::now() - seen.since < m_claim_lease;
    }

    asio::awaitable<std::string> claim(attempt& now) {
        if (++now.claims > max_claims_per_run) {
            co_return "held_by_other";
        }
        auto row = co_await m_store.read(now.database);
        if (!row) {
            co_return "platform_unreachable";
        }
        const bool own_retry = now.claims > 1 && row->record == now.record;
        if (!own_retry && respects_other_claim(now.database, *row, now.known_term)) {
            co_return "held_by_other";
        }
        now.record = group_record{std::max(row->record.term, now.known_term) + 1, group_phase::promoting, "", m_holder,
                                  m_unique + "-" + std::to_string(++m_claim_number)};
        auto written = co_await m_store.write(now.database, now.record, row->version);
        if (written) {
            now.version = *written;
            co_return "claimed";
        }
        if (written.error().code == errc::conflict) {
            co_return "held_by_other";
        }
        // The answer was lost, perhaps after the row was written. Only the
        // row itself tells: it holds this very claim or the claim failed.
        auto after = co_await m_store.read(now.database);
        if (after && after->record == now.record) {
            now.version = after->version;
            co_return "claimed";
        }
        co_return after ? "held_by_other" : "platform_unreachable";
    }

    asio::awaitable<std::string> quiesce(attempt& now) {
        if (now.old) {
            // Best effort: fencing stops a primary that did not answer.
            (void)co_await m_group.quiesce(*now.old, now.known_term);
        }
        co_return "quiesced";
    }

    asio::awaitable<std::string> fence(attempt& now) {
        const auto enough = majority_of(now.members.size());
        auto fenced = co_await m_group.fence(now.members, now.record.term, enough);
        if (!fenced) {
            co_return fenced.error().code == errc::fenced ? "superseded" : "no_majority";
        }
        now.fenced = std::move(*fenced);
        if (now.fenced.size() < enough) {
            co_return "no_majority";
        }
        now.candidate = choose(now.fenced, enough);
        co_return "majority_fenced";
    }

    /// The longest log among the members not avoided, when those alone are a
    /// majority (and so hold every acknowledged write); else among all.
    [[nodiscard]] static group_member choose(std::span<const fenced_member> fenced, std::size_t enough) {
        const auto wanted = [](const fenced_member& item) { return !item.member.avoided; };
        const bool only_wanted = std::cmp_greater_equal(std::ranges::count_if(fenced, wanted), enough);
        const fenced_member* best = nullptr;
        for (const auto& item : fenced) {
            if ((wanted(item) || !only_wanted) && (best == nullptr || item.log_end > best->log_end)) {
                best = &item;
            }
        }
        return best->member;
    }

    asio::awaitable<std::string> promote(attempt& now) {
        auto promoted = co_await m_group.promote(now.candidate, now.record.term, now.members);
        if (promoted) {
            now.led = true;
            co_return "promoted";
        }
        co_return promoted.error().code == errc::fenced ? "superseded" : "answer_lost";
    }

    asio::awaitable<std::string> record(attempt& now) {
        auto settled = now.record;
        settled.phase = group_phase::settled;
        settled.primary = now.candidate.key;
        auto written = co_await m_store.write(now.database, settled, now.version);
        if (written) {
            co_return "recorded";
        }
        co_return written.error().code == errc::conflict ? "superseded" : "platform_unreachable";
    }

    Store& m_store;
    Group& m_group;
    const state_chart& m_steps;
    std::string m_holder;
    std::string m_unique;
    std::chrono::milliseconds m_claim_lease;
    std::uint64_t m_claim_number{0};
    std::map<std::string, seen_claim> m_claims;
};

} // namespace cornellever::proxy
