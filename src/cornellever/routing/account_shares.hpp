#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cornellever/core/boot_clock.hpp"

namespace cornellever::routing {

/// Time for which statements and handshakes occupy execution slots.
using slot_time = std::chrono::duration<double, std::milli>;

/// A server that is eligible for a request.
struct shared_server {
    std::string_view id;
    /// Statements that this proxy can run concurrently on the server.
    std::size_t concurrency{0};
};

/// The recent use of the servers by one account.
struct account_usage {
    std::string account;
    slot_time used{0};
    bool over_share{false};
};

/// Returns the slot time to charge for a statement that took `measured`, which includes the server's queue. If this
/// proxy has more statements `in_flight` on the server than the server has `slots`, at most `slots` of them run, so
/// each is charged its part. Statements of other proxies are unknown, so their effect on the queue cannot be
/// subtracted. It lengthens all accounts' statements alike.
[[nodiscard]] slot_time charged_time(slot_time measured, std::size_t slots, std::size_t in_flight);

/// The slot time that each account has used on each server of a service, as a sum that decays with a half-life of 1 s,
/// and the expected slot time of its waiting requests. Decides by max-min fairness which accounts are over their share:
/// every account with demand has an equal share of the eligible servers' capacity, and what an account does not use is
/// divided among the others. Requests without an account (empty name) count as one account that is never over its
/// share.
class account_shares {
    /// Slot time in milliseconds.
    struct load {
        double used{0.0};
        double queued{0.0};
        /// The part of `queued` whose requests were queued as within the share.
        double queued_within{0.0};
        /// Waiting requests. A request that is eligible for several servers is counted in equal parts on each.
        double requests{0.0};
    };

    struct account_load {
        std::map<std::string, load, std::less<>> servers;
        /// When `load::used` was last decayed.
        boot_clock::time_point at{};
        std::size_t claims{0};
    };

public:
    using time_point = boot_clock::time_point;

    static constexpr std::chrono::milliseconds half_life{1000};

    /// A waiting request, which counts towards its account's demand as long as this object exists. The request's group
    /// (within or over the share) is decided once, when it is queued.
    class claim {
    public:
        claim(const claim&) = delete;
        claim& operator=(const claim&) = delete;
        ~claim();

        [[nodiscard]] bool over_share() const noexcept { return m_over_share; }

    private:
        friend account_shares;
        claim() = default;
        claim(account_load& account, std::vector<load*> servers, slot_time expected, bool over_share);

        void add(double each, double requests);

        account_load* m_account{nullptr};
        std::vector<load*> m_servers;
        /// The part of the expected slot time that is counted on each eligible server.
        double m_each{0.0};
        bool m_over_share{false};
    };

    /// Records that a statement or handshake of `account` took slot time on `server`.
    void record(std::string_view account, std::string_view server, slot_time used, time_point now);

    /// Whether a request of `account` that is queued now is over the account's share of `servers`. Requests that were
    /// queued as over the share do not count against the account, because only capacity that is left over serves them.
    [[nodiscard]] bool over_share(std::string_view account, std::span<const shared_server> servers,
                                  time_point now) const;

    /// Counts a request that is queued and is expected to take the slot time `expected`. If `others_wait` is false, the
    /// request is within its share.
    [[nodiscard]] claim enqueue(std::string_view account, std::span<const shared_server> servers, slot_time expected,
                                bool others_wait, time_point now);

    /// Removes accounts without waiting requests whose use has decayed.
    void forget_idle(time_point now);

    /// Returns the accounts with recent use of `servers`. Accounts are over their share only if `requests_wait`.
    [[nodiscard]] std::vector<account_usage> usage(std::span<const shared_server> servers, bool requests_wait,
                                                   time_point now) const;

private:
    /// Slot time in milliseconds on a set of servers.
    struct demand {
        double used{0.0};
        /// The slot time used and that of the requests queued as within the share.
        double within{0.0};
        /// The slot time used and that of all waiting requests.
        double total{0.0};
        double requests{0.0};
    };

    [[nodiscard]] static demand demand_of(const account_load& of, std::span<const shared_server> servers,
                                          time_point now);
    account_load& load_of(std::string_view account, time_point now);

    std::map<std::string, account_load, std::less<>> m_accounts;
};

} // namespace cornellever::routing
