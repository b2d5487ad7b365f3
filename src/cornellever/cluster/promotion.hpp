#pragma once

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cornellever/cluster/metadata_store.hpp"
#include "cornellever/cluster/promotion_claim.hpp"
#include "cornellever/cluster/successor.hpp"
#include "cornellever/core/boot_clock.hpp"
#include "cornellever/core/log.hpp"
#include "cornellever/core/state_chart.hpp"

namespace cornellever::cluster {

/// The platform's interface for promoting a replica. Errors: `fenced` (the platform has seen a
/// higher fencing token, or the server does not run), `busy` and `unavailable` (the order was not
/// executed), `outcome_unknown` (the order may still be executed later).
template <typename T>
concept promotion_orders = requires(T orders, std::string text, std::uint64_t token) {
    { orders.promote(text, text, text, token) } -> std::same_as<asio::awaitable<result<void>>>;
};

/// Access to the servers of a service during a promotion.
template <typename T>
concept promotion_servers = requires(T servers, std::string text, std::chrono::milliseconds timeout) {
    /// Returns a report on each registered server of a service (first argument) except the old
    /// primary (second argument).
    { servers.query_replicas(text, text) } -> std::same_as<asio::awaitable<std::vector<replica_report>>>;
    /// Returns whether a server confirms within `timeout` that it is the primary.
    { servers.is_primary_now(text, text, timeout) } -> std::same_as<asio::awaitable<bool>>;
    /// Waits up to `timeout` for a server to become the primary; returns whether it did.
    { servers.await_leadership(text, text, timeout) } -> std::same_as<asio::awaitable<bool>>;
};

/// How a promotion ended: the final state of the state chart, the event that led to that state, and
/// the server chosen.
struct promotion_outcome {
    std::string state;
    std::string event;
    std::string successor;
};

/// Replaces a service's primary by running a state chart, a state machine read from
/// charts/promotion.ini.
///
/// Any proxy may try. Mutual exclusion is by a claim, a row in the metadata store that reserves the
/// promotion. The row is written only if it has not changed since it was read, and its new version
/// becomes the fencing token of the promotion order, so two proxies never use the same token. Once
/// an order is executed, an order with a lower token is refused: one that was delayed, or one from
/// a proxy that was paused meanwhile.
template <metadata_store Store, promotion_servers Servers, promotion_orders Orders>
class promotion {
public:
    /// `holder` identifies this proxy to the platform. `claimant` identifies this process of the
    /// proxy, so that a restarted proxy does not take an earlier claim for its own.
    promotion(Store& store, Servers& servers, Orders& orders, const state_chart& steps, std::string holder,
              std::string claimant)
        : m_store{store}
        , m_servers{servers}
        , m_orders{orders}
        , m_steps{steps}
        , m_holder{std::move(holder)}
        , m_claimant{std::move(claimant)} {}

    /// Runs the state chart once to replace `old`, which has been judged lost or leaving. `old` is
    /// empty if no primary is known.
    asio::awaitable<promotion_outcome> run(std::string service, std::string old, primary_verdict why) {
        attempt current{.service = std::move(service), .old = std::move(old), .why = why};
        std::string state = m_steps.start();
        std::string event;
        while (!m_steps.action(state).empty()) {
            event = co_await act(m_steps.action(state), current);
            log_event(event::promotion_step, "service=" + current.service + " state=" + state + " event=" + event +
                                                 " old=" + current.old + " successor=" + current.successor +
                                                 " token=" + std::to_string(current.token));
            auto next = m_steps.next(state, event);
            state = next ? *next : std::string{"given_up"};
        }
        co_return promotion_outcome{state, event, current.successor};
    }

private:
    struct attempt {
        std::string service;
        std::string old;
        primary_verdict why{primary_verdict::lost};
        std::string successor{};
        std::uint64_t token{0};
        int orders{0};
    };

    /// How long a claim keeps the other proxies from replacing the same primary. A promotion takes
    /// about 1.2 s from the order until the new primary is confirmed.
    static constexpr std::chrono::milliseconds claim_lease{2600};
    static constexpr std::chrono::milliseconds leadership_timeout{1400};
    /// Allows for a new connection (12 to 30 ms) and a request that the server handles even if all
    /// its statement slots are taken. If the primary does not respond at all, this timeout adds to
    /// the time without writes (1.2 to 2.0 s).
    static constexpr std::chrono::milliseconds recheck_timeout{100};
    /// Maximum number of times that an order is sent. An order without a response may be executed
    /// up to 12 s later; this limit lets other proxies claim the promotion long before that.
    static constexpr int max_orders = 3;

    asio::awaitable<std::string> act(std::string_view action, attempt& current) {
        if (action == "query_replicas") {
            co_return co_await query_replicas(current);
        }
        if (action == "write_claim") {
            co_return co_await claim(current);
        }
        if (action == "recheck_primary") {
            co_return co_await recheck(current);
        }
        if (action == "order_promotion") {
            co_return co_await order(current);
        }
        if (action == "await_leadership") {
            co_return co_await await_leadership(current);
        }
        co_return "unknown_action";
    }

    asio::awaitable<std::string> query_replicas(attempt& current) {
        const auto reports = co_await m_servers.query_replicas(current.service, current.old);
        const auto existing = std::ranges::find_if(reports, [](const auto& item) { return item.is_primary; });
        if (existing != reports.end() && !lacks_entries_of(*existing, reports)) {
            current.successor = existing->id;
            co_return "leads_already";
        }
        const auto chosen = choose_successor(reports, current.why);
        if (!chosen) {
            const bool any = std::ranges::any_of(reports, &replica_report::answered);
            co_return any ? "all_leave" : "none_answered";
        }
        if (may_hold_only_log(reports)) {
            co_return "none_answered";
        }
        current.successor = chosen->id;
        co_return "chosen";
    }

    asio::awaitable<std::string> claim(attempt& current) {
        auto row = co_await m_store.read(std::string{claims_table}, current.service);
        if (!row) {
            co_return "store_unreachable";
        }
        const auto before = decode_claim(row->value);
        if (before && before->replaces == current.old && before->holder != m_claimant &&
            row->store_time - before->at < claim_lease) {
            co_return "held_by_other";
        }
        const promotion_claim mine{m_claimant, current.old, current.successor, ++m_claims, row->store_time};
        auto written =
            co_await m_store.write_if(std::string{claims_table}, current.service, encode(mine), row->version);
        if (written) {
            current.token = *written;
            co_return "claimed";
        }
        if (written.error().code == errc::conflict) {
            co_return "held_by_other";
        }
        // The response was lost, possibly after the row was written. Reading the row shows whether
        // it was: no other claim has this holder and number.
        auto after = co_await m_store.read(std::string{claims_table}, current.service);
        if (!after) {
            co_return "store_unreachable";
        }
        const auto found = decode_claim(after->value);
        if (found && found->holder == m_claimant && found->number == mine.number) {
            current.token = after->version;
            co_return "claimed";
        }
        co_return "held_by_other";
    }

    /// Checks again whether the old primary is lost. It may be healthy again because a network
    /// partition ended: the evidence against it was collected before the claim was written, and
    /// writing the claim may have taken as long as the store was unreachable. Promoting a replica
    /// would then roll back what others wrote to the primary meanwhile.
    asio::awaitable<std::string> recheck(attempt& current) {
        if (current.why != primary_verdict::lost || current.old.empty()) {
            co_return "gone";
        }
        const bool confirmed = co_await m_servers.is_primary_now(current.service, current.old, recheck_timeout);
        co_return confirmed ? "leads_still" : "gone";
    }

    asio::awaitable<std::string> order(attempt& current) {
        ++current.orders;
        auto done = co_await m_orders.promote(current.service, current.successor, m_holder, current.token);
        if (done) {
            co_return "accepted";
        }
        if (done.error().code == errc::fenced) {
            co_return "refused";
        }
        co_return "unanswered";
    }

    asio::awaitable<std::string> await_leadership(attempt& current) {
        const bool confirmed =
            co_await m_servers.await_leadership(current.service, current.successor, leadership_timeout);
        if (confirmed) {
            co_return "leads";
        }
        if (current.orders >= max_orders) {
            co_return "too_late";
        }
        auto row = co_await m_store.read(std::string{claims_table}, current.service);
        if (row && row->version != current.token) {
            co_return "superseded";
        }
        co_return "not_yet";
    }

    Store& m_store;
    Servers& m_servers;
    Orders& m_orders;
    const state_chart& m_steps;
    std::string m_holder;
    std::string m_claimant;
    std::uint64_t m_claims{0};
};

} // namespace cornellever::cluster
