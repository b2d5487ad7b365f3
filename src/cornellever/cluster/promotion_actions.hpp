#pragma once

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

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
    /// How long the claim of another proxy still blocks this one; 0 if none does.
    std::chrono::milliseconds blocked_for{0};
};

/// One attempt to replace the primary `old` of a service.
struct promotion_attempt {
    std::string service;
    std::string old;
    std::string successor{};
    /// Version of the claim's row when the claim was made or last renewed.
    std::uint64_t token{0};
    int orders{0};
    /// Whether an order under `token` got no response.
    bool unanswered{false};
    /// When an order was last executed, on the store's clock; nothing if none was.
    std::optional<std::chrono::milliseconds> executed_at{};
    std::chrono::milliseconds blocked_for{0};
    promotion_claim claim{};
    /// When the claim was made or last renewed. The claim expires `claim_lease` later.
    boot_clock::time_point claimed_at{};
    /// When the claim's row was last read, and the store's time in the response.
    boot_clock::time_point store_read_at{};
    std::chrono::milliseconds store_time{0};

    /// Returns the estimated time of the store's clock.
    [[nodiscard]] std::chrono::milliseconds store_time_at(boot_clock::time_point now) const {
        return store_time + std::chrono::duration_cast<std::chrono::milliseconds>(now - store_read_at);
    }
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
    co_return promotion_outcome{state, event, current.successor, current.blocked_for};
}

/// The actions that a promotion and a planned handover share: writing and renewing the claim,
/// ordering the promotion and confirming the new primary. Both use the same object, because the
/// claims of one process are told apart by their numbers.
///
/// Each order carries a fencing token of its own, the version of the claim that was renewed before
/// it. Once an order is executed, the platform refuses the earlier ones.
///
/// `Clock` returns times of `boot_clock`; tests replace it.
template <metadata_store Store, typename Servers, promotion_orders Orders, typename Clock = boot_clock>
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

    /// Sets the function that returns whether another proxy seems to be alive. Without it, all do.
    void set_peer_alive(std::function<bool(std::string_view)> alive) { m_peer_alive = std::move(alive); }

    /// Records that the store was restored from an older copy, which may lack claims of this proxy.
    void note_store_restored() { m_store_restored_at = Clock::now(); }

    /// Returns whether this proxy was the last one to claim a service, as far as it knows, so
    /// recently that it should also be the next one.
    [[nodiscard]] bool claimed_last(const std::string& service) const {
        const auto found = m_own_claims.find(service);
        return found != m_own_claims.end() && found->second.last && Clock::now() - found->second.at < order_horizon;
    }

    /// Writes the claim unless `check` says that the existing claim blocks it.
    asio::awaitable<std::string> claim(promotion_attempt& current, claim_check_function check) {
        current.store_read_at = Clock::now();
        auto row = co_await m_store.read(std::string{claims_table}, current.service);
        if (!row) {
            co_return "store_unreachable";
        }
        current.store_time = row->store_time;
        auto before = decode_claim(row->value);
        if (before) {
            restore_own_orders(*before, current);
            const auto found = check_claim(*before, current, check);
            if (found.blocks()) {
                current.blocked_for = found.wait;
                co_return found.state == claim_state::out_of_turn ? "out_of_turn" : "held_by_other";
            }
        }
        current.claim = {.holder = m_claimant, .replaces = current.old, .successor = current.successor};
        current.claim.claimants = before ? std::move(before->claimants) : std::vector<recent_claimant>{};
        co_return co_await write_claim(current, row->version);
    }

    /// Renews the claim before an order is repeated.
    asio::awaitable<std::string> renew(promotion_attempt& current) {
        const auto begun = Clock::now();
        auto row = co_await m_store.read(std::string{claims_table}, current.service);
        if (!row) {
            co_return "store_unreachable";
        }
        const auto found = decode_claim(row->value);
        if (!found || found->holder != m_claimant) {
            note_claim_of_other(current.service);
            co_return "superseded";
        }
        current.store_read_at = begun;
        current.store_time = row->store_time;
        const auto written = co_await write_claim(current, row->version);
        if (written != "claimed") {
            co_return written == "held_by_other" ? "superseded" : written;
        }
        co_return current.orders < max_orders ? "renewed" : "too_late";
    }

    /// Orders the promotion, unless the claim has expired: this process may have been paused.
    asio::awaitable<std::string> order(promotion_attempt& current) {
        if (Clock::now() - current.claimed_at >= claim_lease) {
            co_return "expired";
        }
        ++current.orders;
        auto done = co_await m_orders.promote(current.service, current.successor, m_holder, current.token);
        if (done) {
            current.executed_at = current.store_time_at(Clock::now());
            co_return "accepted";
        }
        if (done.error().code == errc::fenced) {
            co_return "refused";
        }
        current.unanswered = true;
        co_return "unanswered";
    }

    /// Waits until the successor leads, and then records it in the claim.
    asio::awaitable<std::string> await_leadership(promotion_attempt& current) {
        const auto usual = current.unanswered ? unanswered_timeout : leadership_timeout;
        const auto until_renewal =
            std::chrono::ceil<std::chrono::milliseconds>(current.claimed_at + renewal_age - Clock::now());
        const auto timeout = std::clamp(until_renewal, min_leadership_timeout, usual);
        const bool confirmed = co_await m_servers.await_leadership(current.service, current.successor, timeout);
        if (!confirmed) {
            co_return "not_yet";
        }
        co_await record_completion(current);
        co_return "leads";
    }

private:
    /// A claim of this process on a service.
    struct own_claim {
        boot_clock::time_point at;
        /// Whether no claim of another proxy has been seen since.
        bool last{true};
    };

    static constexpr std::chrono::milliseconds leadership_timeout{1400};
    /// Together with the timeout of the order, longer than a promotion takes (0.6 to 1.0 s).
    static constexpr std::chrono::milliseconds unanswered_timeout{900};
    static constexpr std::chrono::milliseconds min_leadership_timeout{100};
    /// Age at which a claim is renewed, so that it does not expire while the store responds slowly.
    static constexpr std::chrono::milliseconds renewal_age = claim_lease - std::chrono::milliseconds{400};
    /// Maximum number of orders before the servers are asked again which of them can lead.
    static constexpr int max_orders = 3;
    /// Time after which no order of this proxy matters any more to the orders of others.
    static constexpr std::chrono::milliseconds order_horizon =
        orders_done_after(std::chrono::milliseconds{0}) + min_alternation_interval;

    claim_check check_claim(const promotion_claim& before, const promotion_attempt& current,
                            claim_check_function check) {
        const auto holder = proxy_of(before.holder);
        if (holder != m_holder) {
            note_claim_of_other(current.service);
        }
        const auto found = check(before, {m_holder, current.old, current.store_time, m_peer_alive(holder)});
        log_event(event::claim_checked, "service=" + current.service + " holder=" + before.holder +
                                            " replaces=" + before.replaces + " successor=" + before.successor +
                                            " age_ms=" + std::to_string(to_ms(current.store_time - before.at)) +
                                            " result=" + std::string{to_string(found.state)} +
                                            " wait_ms=" + std::to_string(found.wait.count()));
        return found;
    }

    void note_claim_of_other(const std::string& service) {
        if (const auto found = m_own_claims.find(service); found != m_own_claims.end()) {
            found->second.last = false;
        }
    }

    /// Adds the recent orders of this process to a claim of another proxy that lacks them because
    /// the store was restored from an older copy.
    void restore_own_orders(promotion_claim& before, const promotion_attempt& current) const {
        const auto now = Clock::now();
        const auto own = m_own_claims.find(current.service);
        const bool listed =
            std::ranges::find(before.claimants, m_holder, &recent_claimant::proxy) != before.claimants.end();
        const bool restored = m_store_restored_at && now - *m_store_restored_at < order_horizon;
        if (!restored || listed || own == m_own_claims.end()) {
            return;
        }
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - own->second.at);
        before.claimants.insert(before.claimants.begin(), {m_holder, orders_done_after(current.store_time - age)});
    }

    /// Writes the claim of an attempt in place of the row just read. Events: `claimed`,
    /// `held_by_other`, `store_unreachable`.
    asio::awaitable<std::string> write_claim(promotion_attempt& current, std::uint64_t version) {
        auto& claim = current.claim;
        claim.number = ++m_claims;
        claim.at = current.store_time;
        claim.claimants = claimants_after(claim.claimants, m_holder, claim.at);
        auto written = co_await m_store.write_if(std::string{claims_table}, current.service, encode(claim), version);
        if (!written && written.error().code == errc::conflict) {
            co_return "held_by_other";
        }
        if (!written) {
            // The response was lost, possibly after the row was written. Reading the row shows
            // whether it was: no other claim has this holder and number.
            auto after = co_await m_store.read(std::string{claims_table}, current.service);
            if (!after) {
                co_return "store_unreachable";
            }
            if (after->version == version) {
                co_return "store_unreachable";
            }
            const auto found = decode_claim(after->value);
            if (!found || found->holder != m_claimant || found->number != claim.number) {
                co_return "held_by_other";
            }
            written = after->version;
        }
        current.token = *written;
        current.claimed_at = current.store_read_at;
        current.unanswered = false;
        m_own_claims[current.service] = {current.claimed_at};
        co_return "claimed";
    }

    /// Records that the promotion is complete, and when its order was executed. Without the record,
    /// the other proxies assume the latest possible time.
    asio::awaitable<void> record_completion(promotion_attempt& current) {
        current.claim.completed = true;
        current.claim.number = ++m_claims;
        if (current.executed_at) {
            record_execution(current.claim, *current.executed_at, current.unanswered);
        }
        const auto written =
            co_await m_store.write_if(std::string{claims_table}, current.service, encode(current.claim), current.token);
        if (!written) {
            log_event(event::promotion_step,
                      "service=" + current.service + " state=record event=not_recorded old=" + current.old +
                          " successor=" + current.successor + " token=" + std::to_string(current.token));
        }
    }

    Store& m_store;
    Servers& m_servers;
    Orders& m_orders;
    std::string m_holder;
    std::string m_claimant;
    std::function<bool(std::string_view)> m_peer_alive{[](std::string_view) { return true; }};
    std::uint64_t m_claims{0};
    /// The last claim of this process on each service.
    std::map<std::string, own_claim, std::less<>> m_own_claims;
    std::optional<boot_clock::time_point> m_store_restored_at;
};

} // namespace cornellever::cluster
