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

/// Where promotions are ordered. Errors: `fenced` (a higher token was seen, or
/// the server does not run), `busy` and `unavailable` (not done), else
/// `outcome_unknown`: the order may be carried out later.
template <typename T>
concept promotion_orders = requires(T orders, std::string text, std::uint64_t token) {
    { orders.promote(text, text, text, token) } -> std::same_as<asio::awaitable<result<void>>>;
};

/// The servers of a service, as a promotion needs them.
template <typename T>
concept promotion_servers = requires(T servers, std::string text, std::chrono::milliseconds limit) {
    /// A report of each registered server but the second argument's.
    { servers.survey(text, text) } -> std::same_as<asio::awaitable<std::vector<replica_report>>>;
    /// Whether a server answers as the primary within `limit`.
    { servers.leads_now(text, text, limit) } -> std::same_as<asio::awaitable<bool>>;
    /// Whether a server leads, waiting up to `limit` for it.
    { servers.await_lead(text, text, limit) } -> std::same_as<asio::awaitable<bool>>;
};

/// How a promotion ended.
struct promotion_outcome {
    std::string state;
    std::string event;
    std::string successor;
};

/// Replaces a service's primary by the steps of a state chart.
///
/// Any proxy may try. A row of the metadata store says whose turn it is: it is
/// written on the condition that it is unchanged since it was read, and its new
/// version is the fencing token of the order. So two proxies never order with
/// the same token, and an order that was delayed, or comes from a proxy that
/// was paused meanwhile, is refused once a later one was given.
template <metadata_store Store, promotion_servers Servers, promotion_orders Orders>
class promotion {
public:
    /// `holder` names this proxy to the platform; `claimant` also tells one
    /// start of its process from another.
    promotion(Store& store, Servers& servers, Orders& orders, const state_chart& steps, std::string holder,
              std::string claimant)
        : m_store{store}
        , m_servers{servers}
        , m_orders{orders}
        , m_steps{steps}
        , m_holder{std::move(holder)}
        , m_claimant{std::move(claimant)} {}

    /// Runs the chart once, to replace `old` (empty when no primary is known),
    /// which has been judged lost or leaving for `judged_for`.
    asio::awaitable<promotion_outcome> run(std::string service, std::string old, primary_verdict why,
                                           boot_clock::time_point::duration judged_for = {}) {
        attempt now{.service = std::move(service), .old = std::move(old), .why = why, .judged_for = judged_for};
        std::string state = m_steps.start();
        std::string event;
        while (!m_steps.action(state).empty()) {
            event = co_await act(m_steps.action(state), now);
            log_event(event::promotion_step, "service=" + now.service + " state=" + state + " event=" + event +
                                                 " old=" + now.old + " successor=" + now.successor +
                                                 " token=" + std::to_string(now.token));
            auto next = m_steps.next(state, event);
            state = next ? *next : std::string{"given_up"};
        }
        co_return promotion_outcome{state, event, now.successor};
    }

private:
    struct attempt {
        std::string service;
        std::string old;
        primary_verdict why{primary_verdict::lost};
        boot_clock::time_point::duration judged_for{};
        std::string successor{};
        std::uint64_t token{0};
        int orders{0};
    };

    /// A promotion takes about 1.2 s from the order to the lead; in that time
    /// nobody else begins one for the same primary.
    static constexpr std::chrono::milliseconds turn_lasts{2600};
    static constexpr std::chrono::milliseconds lead_wait{1400};
    /// How long a server that may hold the only log is waited for: longer than
    /// most take to start again. Callers are refused meanwhile.
    static constexpr std::chrono::milliseconds log_wait{5000};
    /// A new connection (12 to 30 ms) and a question that takes no slot; a
    /// primary that went dark costs this much of the gap (1.2 to 2.0 s).
    static constexpr std::chrono::milliseconds look_limit{100};
    /// An unanswered order may be carried out up to 12 s later; others get
    /// their turn long before.
    static constexpr int max_orders = 3;

    asio::awaitable<std::string> act(std::string_view action, attempt& now) {
        if (action == "survey_replicas") {
            co_return co_await survey(now);
        }
        if (action == "claim_turn") {
            co_return co_await claim(now);
        }
        if (action == "look_again") {
            co_return co_await look_again(now);
        }
        if (action == "order_promotion") {
            co_return co_await order(now);
        }
        if (action == "await_lead") {
            co_return co_await settle(now);
        }
        co_return "unknown_action";
    }

    asio::awaitable<std::string> survey(attempt& now) {
        const auto reports = co_await m_servers.survey(now.service, now.old);
        const auto leading = std::ranges::find_if(reports, [](const auto& item) { return item.leads; });
        if (leading != reports.end() && !lacks_entries_of(*leading, reports)) {
            now.successor = leading->id;
            co_return "leads_already";
        }
        const auto chosen = choose_successor(reports, now.why);
        if (!chosen) {
            const bool any = std::ranges::any_of(reports, &replica_report::answered);
            co_return any ? "all_leave" : "none_answered";
        }
        if (may_hold_only_log(reports) && now.judged_for < log_wait) {
            co_return "none_answered";
        }
        now.successor = chosen->id;
        co_return "chosen";
    }

    asio::awaitable<std::string> claim(attempt& now) {
        auto row = co_await m_store.read(std::string{claims_table}, now.service);
        if (!row) {
            co_return "store_unreachable";
        }
        const auto before = decode_claim(row->value);
        if (before && before->replaces == now.old && before->holder != m_claimant &&
            row->store_time - before->at < turn_lasts) {
            co_return "held_by_other";
        }
        const promotion_claim mine{m_claimant, now.old, now.successor, ++m_claims, row->store_time};
        auto written = co_await m_store.write_if(std::string{claims_table}, now.service, encode(mine), row->version);
        if (written) {
            now.token = *written;
            co_return "claimed";
        }
        if (written.error().code == errc::conflict) {
            co_return "held_by_other";
        }
        // The answer was lost, perhaps after the row was written; the row
        // tells, since no other claim has this holder and number.
        auto after = co_await m_store.read(std::string{claims_table}, now.service);
        if (!after) {
            co_return "store_unreachable";
        }
        const auto found = decode_claim(after->value);
        if (found && found->holder == m_claimant && found->number == mine.number) {
            now.token = after->version;
            co_return "claimed";
        }
        co_return "held_by_other";
    }

    /// A partition that ends during the attempt shows a primary that is well:
    /// the evidence against it is from before the claim, which may have taken
    /// as long as the store could not be reached. Ordered all the same, the
    /// promotion would roll back what others wrote at the primary meanwhile.
    asio::awaitable<std::string> look_again(attempt& now) {
        if (now.why != primary_verdict::lost || now.old.empty()) {
            co_return "gone";
        }
        const bool leads = co_await m_servers.leads_now(now.service, now.old, look_limit);
        co_return leads ? "leads_still" : "gone";
    }

    asio::awaitable<std::string> order(attempt& now) {
        ++now.orders;
        auto done = co_await m_orders.promote(now.service, now.successor, m_holder, now.token);
        if (done) {
            co_return "accepted";
        }
        if (done.error().code == errc::fenced) {
            co_return "refused";
        }
        co_return "unanswered";
    }

    asio::awaitable<std::string> settle(attempt& now) {
        const bool leads = co_await m_servers.await_lead(now.service, now.successor, lead_wait);
        if (leads) {
            co_return "leads";
        }
        if (now.orders >= max_orders) {
            co_return "too_late";
        }
        auto row = co_await m_store.read(std::string{claims_table}, now.service);
        if (row && row->version != now.token) {
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
