#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cornellever/accounts/authorizer.hpp"
#include "cornellever/limits/grant_message.hpp"
#include "cornellever/limits/limit_share.hpp"
#include "cornellever/limits/token_bucket.hpp"

namespace cornellever::limits {

/// Grants operations of the accounts whose limits this proxy coordinates.
///
/// The coordinators of an account hold fixed shares of its limit and never speak
/// to each other, so that the sum stays within the limit whoever is cut off from
/// whom. What can go over it is only a share held twice, by proxies that do not
/// agree on who else there is; so one that takes another's place waits first.
class limit_coordinator {
public:
    using time_point = boot_clock::time_point;

    /// With `first_start` no process of this deployment granted anything before.
    limit_coordinator(std::string self, limit_bound bound, bool first_start = false)
        : m_self{std::move(self)}
        , m_bound{bound}
        , m_first_start{first_start} {}

    /// The proxies that there are, this one among them. Where they are not known
    /// to be all, this one may take itself for a coordinator that it is not, and
    /// grants nothing.
    void set_proxies(std::vector<std::string> names, time_point now, bool complete = true);

    /// Grants one operation of an account, or says why not.
    [[nodiscard]] grant_response ask(std::string_view account, const accounts::authorizer& authorizer, time_point now);

    /// The proxies that coordinate an account's limit.
    [[nodiscard]] std::vector<std::string> coordinators(std::string_view account,
                                                        const accounts::rate_limit& limit) const;

    /// How long a proxy that takes another's place grants nothing. The other is
    /// taken for gone after it was silent for 8 s; if it was merely cut off, its
    /// configuration's lease has ended by then or does within this.
    static constexpr std::chrono::milliseconds takeover{5000};

private:
    struct share_here {
        bool mine{false};
        /// For which limit and which proxies that was worked out.
        accounts::rate_limit limit;
        std::uint64_t generation{0};
        token_bucket bucket;
    };

    /// Proxies that were known until `replaced_at`.
    struct former_proxies {
        std::vector<std::string> names;
        time_point replaced_at;
    };

    [[nodiscard]] bool chosen_among(std::span<const std::string> proxies, const accounts::account& who) const;
    [[nodiscard]] limit_share share_now(const accounts::account& who) const;
    [[nodiscard]] time_point holds_since(const accounts::account& who) const;
    [[nodiscard]] token_bucket bucket_for(const accounts::account& who) const;
    share_here& share_for(const accounts::account& who, time_point now);

    std::string m_self;
    limit_bound m_bound;
    bool m_first_start;
    std::vector<std::string> m_proxies;
    std::uint64_t m_generation{0};
    /// Whether all of them were known once, and since when.
    bool m_complete{false};
    time_point m_known_at{};
    /// Replaced within the last `takeover`; older ones are forgotten, and with
    /// them who held which share until `m_forgotten_until`.
    std::deque<former_proxies> m_former;
    time_point m_forgotten_until{};
    std::map<std::string, share_here, std::less<>> m_shares;
};

} // namespace cornellever::limits
