#pragma once

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cornellever/cluster/promotion.hpp"
#include "cornellever/cluster/promotion_actions.hpp"
#include "cornellever/core/boot_clock.hpp"
#include "cornellever/sql/server_status.hpp"

namespace cornellever::cluster {

/// Access to the servers of a service during a planned handover.
template <typename T>
concept handover_servers = promotion_servers<T> &&
    requires(T servers, std::string text, std::uint64_t term, std::chrono::milliseconds timeout) {
    /// Returns the status of a server, or nothing if it does not report its status within `timeout`.
    { servers.query_status(text, text, timeout) } -> std::same_as<asio::awaitable<std::optional<sql::server_status>>>;
    /// Makes a server a replica if it is the primary of a term below `term`. Returns the server's
    /// status afterwards, or nothing if it does not report its status within `timeout`.
    {
        servers.step_down(text, text, term, timeout)
        } -> std::same_as<asio::awaitable<std::optional<sql::server_status>>>;
};

/// Returns whether a replica has received enough of the log to lead soon after the primary stops
/// acknowledging commits.
[[nodiscard]] constexpr bool is_near(const sql::log_position& received, const sql::log_position& primary) noexcept {
    /// The replica receives the missing commits while the writes wait. The busiest service commits
    /// 257 times a second, so 64 commits are a quarter of a second.
    constexpr std::uint64_t max_missing_commits = 64;
    return received.number + max_missing_commits >= primary.number;
}

/// Hands the leadership of a service over to the replica that has received most of the log, by
/// running the state machine charts/handover.ini. The claim, the fencing token and the orders are
/// those of a promotion.
///
/// The old primary is fenced before the order: it acknowledges no commit from then on, so the
/// position in its reply is the end of the log, and the successor has all acknowledged commits once
/// it has received that position.
template <metadata_store Store, handover_servers Servers, promotion_orders Orders>
class handover {
public:
    using actions_type = promotion_actions<Store, Servers, Orders>;

    handover(actions_type& actions, Servers& servers, const state_chart& steps)
        : m_actions{actions}
        , m_servers{servers}
        , m_steps{steps} {}

    /// Runs the state chart once for the primary `old`. `check` decides whether an existing claim
    /// blocks the handover: `check_promotion` if the primary is about to stop, so that the handover
    /// cannot wait.
    asio::awaitable<promotion_outcome> run(std::string service, std::string old,
                                           claim_check_function check = &check_handover) {
        attempt current{{.service = std::move(service), .old = std::move(old)}, check};
        const auto step = [&](std::string_view action) { return act(action, current); };
        co_return co_await run_chart(m_steps, current.common, step);
    }

private:
    struct attempt {
        promotion_attempt common;
        claim_check_function check{&check_handover};
        /// The primary's term according to the survey.
        std::uint64_t term{0};
        /// The end of the old primary's log when it was fenced.
        sql::log_position log_end{};
    };

    /// A live server responds within a few round trips; a new connection to an overloaded one waits
    /// for about two rounds of statements (80 ms).
    static constexpr std::chrono::milliseconds query_timeout{450};
    /// A replica receives a commit within 20 ms. The writes wait for this time in addition to the
    /// promotion (600 to 1,000 ms).
    static constexpr std::chrono::milliseconds catch_up_timeout{300};
    static constexpr std::chrono::milliseconds catch_up_poll_period{10};

    asio::awaitable<std::string> act(std::string_view action, attempt& current) {
        if (action == "survey_servers") {
            co_return co_await survey(current);
        }
        if (action == "write_claim") {
            co_return co_await m_actions.claim(current.common, current.check);
        }
        if (action == "step_down") {
            co_return co_await fence(current);
        }
        if (action == "await_received") {
            co_return co_await await_received(current);
        }
        if (action == "choose_old_primary") {
            current.common.successor = current.common.old;
            co_return "chosen";
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

    asio::awaitable<std::string> survey(attempt& current) {
        const auto& service = current.common.service;
        const auto& old = current.common.old;
        const auto primary = co_await m_servers.query_status(service, old, query_timeout);
        if (!primary) {
            co_return "primary_silent";
        }
        const auto reports = co_await m_servers.query_replicas(service, old);
        if (!primary->is_primary || std::ranges::any_of(reports, &replica_report::is_primary)) {
            co_return "replaced";
        }
        const auto chosen = choose_successor(reports, primary_verdict::leaving);
        if (!chosen) {
            co_return "no_successor";
        }
        current.common.successor = chosen->id;
        current.term = primary->term;
        co_return is_near(chosen->received, primary->received) ? "chosen" : "not_near";
    }

    /// Fences the old primary. If it does not reply, the fence may have taken effect, which its
    /// status shows.
    asio::awaitable<std::string> fence(attempt& current) {
        const auto& service = current.common.service;
        const auto& old = current.common.old;
        auto status = co_await m_servers.step_down(service, old, current.term + 1, query_timeout);
        if (!status) {
            status = co_await m_servers.query_status(service, old, query_timeout);
        }
        if (!status) {
            co_return "unanswered";
        }
        if (status->is_primary) {
            co_return "leads_still";
        }
        current.log_end = status->received;
        co_return "fenced";
    }

    asio::awaitable<std::string> await_received(const attempt& current) {
        const auto until = boot_clock::now() + catch_up_timeout;
        for (auto now = boot_clock::now(); now < until; now = boot_clock::now()) {
            const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - now);
            const auto status = co_await m_servers.query_status(current.common.service, current.common.successor, left);
            if (status && status->received >= current.log_end) {
                co_return "reached";
            }
            co_await sleep_for(catch_up_poll_period);
        }
        co_return "too_late";
    }

    actions_type& m_actions;
    Servers& m_servers;
    const state_chart& m_steps;
};

} // namespace cornellever::cluster
