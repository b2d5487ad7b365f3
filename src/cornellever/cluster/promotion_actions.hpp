#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "cornellever/cluster/metadata_store.hpp"
#include "cornellever/cluster/promotion_claim.hpp"
#include "cornellever/core/asio.hpp"
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

/// How a promotion ended: the final state of the state chart, the event that led to that state, and
/// the server chosen.
struct promotion_outcome {
    std::string state;
    std::string event;
    std::string successor;
};

/// One attempt to replace the primary `old` of a service.
struct promotion_attempt {
    std::string service;
    std::string old;
    std::string successor{};
    std::uint64_t token{0};
    int orders{0};
};

/// Runs a state chart to its end. `act` runs the action of a state and returns the event that it
/// ended with. Each step is logged.
template <typename Act>
asio::awaitable<promotion_outcome> run_chart(const state_chart& steps, const promotion_attempt& current, Act act) {
    std::string state = steps.start();
    std::string event;
    while (!steps.action(state).empty()) {
        event = co_await act(steps.action(state));
        log_event(event::promotion_step, "service=" + current.service + " state=" + state + " event=" + event +
                                             " old=" + current.old + " successor=" + current.successor +
                                             " token=" + std::to_string(current.token));
        auto next = steps.next(state, event);
        state = next ? *next : std::string{"given_up"};
    }
    co_return promotion_outcome{state, event, current.successor};
}

/// The actions that a promotion and a planned handover share: writing the claim, ordering the
/// promotion and confirming the new primary. Both use the same object, because the claims of one
/// process are told apart by their numbers.
template <metadata_store Store, typename Servers, promotion_orders Orders>
class promotion_actions {
public:
    /// `holder` identifies this proxy to the platform. `claimant` identifies this process of the
    /// proxy, so that a restarted proxy does not take an earlier claim for its own.
    promotion_actions(Store& store, Servers& servers, Orders& orders, std::string holder, std::string claimant)
        : m_store{store}
        , m_servers{servers}
        , m_orders{orders}
        , m_holder{std::move(holder)}
        , m_claimant{std::move(claimant)} {}

    [[nodiscard]] const std::string& claimant() const noexcept { return m_claimant; }

    /// Writes the claim unless `blocked` returns true for the claim that the row holds and the time
    /// of the store's clock.
    template <std::predicate<const promotion_claim&, std::chrono::milliseconds> Blocked>
    asio::awaitable<std::string> claim(promotion_attempt& current, Blocked blocked) {
        auto row = co_await m_store.read(std::string{claims_table}, current.service);
        if (!row) {
            co_return "store_unreachable";
        }
        const auto before = decode_claim(row->value);
        log_check(current, before, row->store_time);
        if (before && blocked(*before, row->store_time)) {
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

    asio::awaitable<std::string> order(promotion_attempt& current) {
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

    asio::awaitable<std::string> await_leadership(const promotion_attempt& current) {
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

private:
    void log_check(const promotion_attempt& current, const std::optional<promotion_claim>& before,
                   std::chrono::milliseconds store_time) const {
        if (!before) {
            log_event(event::claim_checked, "service=" + current.service + " result=none");
            return;
        }
        const auto state = classify(*before, current.old, m_claimant, store_time);
        log_event(event::claim_checked, "service=" + current.service + " holder=" + before->holder +
                                            " replaces=" + before->replaces + " successor=" + before->successor +
                                            " age_ms=" + std::to_string(to_ms(store_time - before->at)) +
                                            " result=" + std::string{to_string(state)});
    }

    static constexpr std::chrono::milliseconds leadership_timeout{1400};
    /// Maximum number of times that an order is sent. An order without a response may be executed
    /// up to 12 s later; this limit lets other proxies claim the promotion long before that.
    static constexpr int max_orders = 3;

    Store& m_store;
    Servers& m_servers;
    Orders& m_orders;
    std::string m_holder;
    std::string m_claimant;
    std::uint64_t m_claims{0};
};

} // namespace cornellever::cluster
