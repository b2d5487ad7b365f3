#pragma once

#include <algorithm>
#include <chrono>
#include <concepts>
#include <string>
#include <utility>
#include <vector>

#include "cornellever/cluster/promotion_actions.hpp"
#include "cornellever/cluster/promotion_claim.hpp"
#include "cornellever/cluster/successor.hpp"
#include "cornellever/core/state_chart.hpp"

namespace cornellever::cluster {

/// Access to the servers of a service during a promotion.
template <typename T>
concept promotion_servers = requires(T servers, std::string text, std::chrono::milliseconds timeout) {
    /// Returns a report on each registered server of a service (first argument). The old primary
    /// (second argument) is among them only if it replies that it is no longer the primary.
    { servers.query_replicas(text, text) } -> std::same_as<asio::awaitable<std::vector<replica_report>>>;
    /// Returns whether a server confirms within `timeout` that it is the primary.
    { servers.is_primary_now(text, text, timeout) } -> std::same_as<asio::awaitable<bool>>;
    /// Waits up to `timeout` for a server to become the primary; returns whether it did.
    { servers.await_leadership(text, text, timeout) } -> std::same_as<asio::awaitable<bool>>;
};

/// Replaces a service's primary by running a state chart, a state machine read from
/// charts/promotion.ini.
///
/// Any proxy may try. Mutual exclusion is by a claim, a row in the metadata store that reserves the
/// promotion. The row is written only if it has not changed since it was read, and its new version
/// becomes the fencing token of the promotion order, so two proxies never use the same token. Once
/// an order is executed, an order with a lower token is refused: one that was delayed, or one from
/// a proxy that was paused meanwhile.
template <metadata_store Store, promotion_servers Servers, promotion_orders Orders, typename Clock = boot_clock>
class promotion {
public:
    using actions_type = promotion_actions<Store, Servers, Orders, Clock>;

    /// `holder` and `claimant` identify this proxy as in `promotion_actions`.
    promotion(Store& store, Servers& servers, Orders& orders, const state_chart& steps, std::string holder,
              std::string claimant)
        : m_servers{servers}
        , m_steps{steps}
        , m_actions{store, servers, orders, std::move(holder), std::move(claimant)} {}

    /// The actions that a planned handover of this proxy shares with its promotions.
    [[nodiscard]] actions_type& actions() noexcept { return m_actions; }

    /// Runs the state chart once to replace `old`, which has been judged lost or leaving. `old` is
    /// empty if no primary is known. Commits of the service are acknowledged once
    /// `synchronous_replicas` replicas have received them.
    asio::awaitable<promotion_outcome> run(std::string service, std::string old, primary_verdict why,
                                           int synchronous_replicas = 0) {
        attempt current{{.service = std::move(service), .old = std::move(old)}, why, synchronous_replicas};
        const auto step = [&](std::string_view action) { return act(action, current); };
        co_return co_await run_chart(m_steps, current.common, step);
    }

private:
    struct attempt {
        promotion_attempt common;
        primary_verdict why{primary_verdict::lost};
        int synchronous_replicas{0};
    };

    /// Allows for a new connection (12 to 30 ms) and a request that the server handles even if all
    /// its statement slots are taken. If the primary does not respond at all, this timeout adds to
    /// the time without writes (1.2 to 2.0 s).
    static constexpr std::chrono::milliseconds recheck_timeout{100};

    asio::awaitable<std::string> act(std::string_view action, attempt& current) {
        if (action == "query_replicas") {
            co_return co_await query_replicas(current);
        }
        if (action == "write_claim") {
            co_return co_await m_actions.claim(current.common, &check_promotion);
        }
        if (action == "recheck_primary") {
            co_return co_await recheck(current);
        }
        if (action == "order_promotion") {
            co_return co_await m_actions.order(current.common);
        }
        if (action == "await_leadership") {
            co_return co_await m_actions.await_leadership(current.common);
        }
        if (action == "renew_claim") {
            co_return co_await m_actions.renew(current.common);
        }
        co_return "unknown_action";
    }

    asio::awaitable<std::string> query_replicas(attempt& current) {
        const auto reports = co_await m_servers.query_replicas(current.common.service, current.common.old);
        const auto existing = std::ranges::find_if(reports, [](const auto& item) { return item.is_primary; });
        if (existing != reports.end() && !lacks_entries_of(*existing, reports)) {
            current.common.successor = existing->id;
            co_return "leads_already";
        }
        const auto chosen =
            current.synchronous_replicas > 0 ? choose_longest_log(reports) : choose_successor(reports, current.why);
        if (!chosen) {
            const bool any = std::ranges::any_of(reports, &replica_report::answered);
            co_return any ? "all_leave" : "none_answered";
        }
        if (may_hold_only_log(reports)) {
            co_return "none_answered";
        }
        current.common.successor = chosen->id;
        const replaced_primary old{current.common.old, current.why, current.synchronous_replicas};
        co_return holds_acknowledged_commits(*chosen, reports, old) ? "chosen" : "commits_unproven";
    }

    /// Checks again whether the old primary is lost. It may be healthy again because a network
    /// partition ended: the evidence against it was collected before the claim was written, and
    /// writing the claim may have taken as long as the store was unreachable. Promoting a replica
    /// would then roll back what others wrote to the primary meanwhile.
    asio::awaitable<std::string> recheck(const attempt& current) {
        if (current.why != primary_verdict::lost || current.common.old.empty()) {
            co_return "gone";
        }
        const auto& common = current.common;
        const bool confirmed = co_await m_servers.is_primary_now(common.service, common.old, recheck_timeout);
        co_return confirmed ? "leads_still" : "gone";
    }

    Servers& m_servers;
    const state_chart& m_steps;
    actions_type m_actions;
};

} // namespace cornellever::cluster
