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

/// Grants operations of the accounts whose rate limits this proxy coordinates. The coordinators of an account are
/// proxies that each hold a fixed share of the account's limit. They do not communicate, so the sum of their grants
/// stays within the limit under any network partition. The sum can exceed the limit only while two proxies hold the
/// same share because they know different sets of proxies. A proxy that takes over a share therefore waits for
/// `takeover_delay` before it grants operations from the share.
class limit_coordinator {
public:
    using time_point = boot_clock::time_point;

    /// `first_start` is true if no process of this deployment has granted any operation before.
    limit_coordinator(std::string self, limit_bound bound, bool first_start = false)
        : m_self{std::move(self)}
        , m_bound{bound}
        , m_first_start{first_start} {}

    /// Sets the known proxies, including this one. `complete` is true if the list contains all proxies. This proxy
    /// grants nothing before the first complete list, because with a partial list it could wrongly consider itself a
    /// coordinator.
    void set_proxies(std::vector<std::string> names, time_point now, bool complete = true);

    /// Grants one operation from this proxy's share of an account's limit, if the share is not used up.
    [[nodiscard]] grant_response grant(std::string_view account_name, const accounts::authorizer& authorizer,
                                       time_point now);

    /// Returns the names of the proxies that coordinate an account's limit.
    [[nodiscard]] std::vector<std::string> coordinators(std::string_view account,
                                                        const accounts::rate_limit& limit) const;

    /// How long a proxy that takes over a share grants no operation from the share. The previous holder is presumed
    /// dead after 8 s of silence. If the previous holder is only partitioned, its configuration lease has expired by
    /// then or expires within this delay, so the previous holder grants no further operations.
    static constexpr std::chrono::milliseconds takeover_delay{5000};

private:
    struct share_state {
        /// Whether this proxy coordinates the account.
        bool coordinated{false};
        /// The account's limit and the version of the proxy list from which the share was computed.
        accounts::rate_limit limit;
        std::uint64_t generation{0};
        token_bucket bucket;
    };

    /// A proxy list that was in use until `replaced_at`.
    struct former_list {
        std::vector<std::string> names;
        time_point replaced_at;
    };

    [[nodiscard]] bool is_coordinator_among(std::span<const std::string> proxies,
                                            const accounts::account& account) const;
    [[nodiscard]] limit_share current_share(const accounts::account& account) const;
    [[nodiscard]] time_point share_held_since(const accounts::account& account) const;
    [[nodiscard]] token_bucket make_bucket(const accounts::account& account) const;
    share_state& share_for(const accounts::account& account, time_point now);

    std::string m_self;
    limit_bound m_bound;
    bool m_first_start;
    std::vector<std::string> m_proxies;
    std::uint64_t m_generation{0};
    /// Whether a complete proxy list was ever set, and when the first one was set.
    bool m_complete{false};
    time_point m_complete_since{};
    /// The lists that were replaced within the last `takeover_delay`. Older lists are discarded, and it is then unknown
    /// which proxy held which share up to `m_discarded_until`.
    std::deque<former_list> m_former_lists;
    time_point m_discarded_until{};
    std::map<std::string, share_state, std::less<>> m_shares;
};

} // namespace cornellever::limits
