#include "cornellever/limits/limit_coordinator.hpp"

#include <algorithm>
#include <utility>

#include "cornellever/limits/coordinators.hpp"

namespace cornellever::limits {

namespace {

std::vector<std::string> coordinators_among(std::span<const std::string> proxies, std::string_view account,
                                            const accounts::rate_limit& limit, const limit_bound& bound) {
    std::vector<std::string> out;
    for (const auto place : choose_coordinators(account, coordinators_of(limit, bound, proxies.size()), proxies)) {
        out.push_back(proxies[place]);
    }
    return out;
}

} // namespace

void limit_coordinator::set_proxies(std::vector<std::string> names, time_point now, bool complete) {
    if (m_complete) {
        m_former.push_back({std::move(m_proxies), now});
    } else {
        m_known_at = now;
        m_complete = complete;
    }
    m_proxies = std::move(names);
    ++m_generation;
    while (!m_former.empty() && now - m_former.front().replaced_at >= takeover) {
        m_forgotten_until = m_former.front().replaced_at;
        m_former.pop_front();
    }
}

std::vector<std::string> limit_coordinator::coordinators(std::string_view account,
                                                         const accounts::rate_limit& limit) const {
    return coordinators_among(m_proxies, account, limit, m_bound);
}

bool limit_coordinator::chosen_among(std::span<const std::string> proxies, const accounts::account& who) const {
    const auto chosen = coordinators_among(proxies, who.name, *who.limit, m_bound);
    return std::ranges::find(chosen, m_self) != chosen.end();
}

limit_share limit_coordinator::share_now(const accounts::account& who) const {
    return share_of(*who.limit, m_bound, coordinators_of(*who.limit, m_bound, m_proxies.size()));
}

/// Since when this proxy holds a share alone. Where another one held it lately,
/// that one may not know yet that it is not its own any more.
limit_coordinator::time_point limit_coordinator::holds_since(const accounts::account& who) const {
    auto out = m_known_at;
    if (m_forgotten_until != time_point{}) {
        out = std::max(out, m_forgotten_until + takeover);
    }
    for (const auto& item : m_former) {
        if (!chosen_among(item.names, who)) {
            out = std::max(out, item.replaced_at + takeover);
        }
    }
    return out;
}

/// The bucket of a share as if it had been there since the share was held: that
/// nobody asked for it before makes it no emptier.
token_bucket limit_coordinator::bucket_for(const accounts::account& who) const {
    const auto share = share_now(who);
    const auto since = holds_since(who);
    const bool untouched = m_first_start && since == m_known_at;
    return {share, untouched ? share.capacity : share.at_start, since};
}

limit_coordinator::share_here& limit_coordinator::share_for(const accounts::account& who, time_point now) {
    auto found = m_shares.find(who.name);
    const bool known = found != m_shares.end();
    if (known && found->second.generation == m_generation && found->second.limit == *who.limit) {
        return found->second;
    }
    const bool mine = chosen_among(m_proxies, who);
    if (mine && known && found->second.mine) {
        found->second.bucket.set(share_now(who), now);
        found->second.limit = *who.limit;
        found->second.generation = m_generation;
        return found->second;
    }
    share_here made{.mine = mine, .limit = *who.limit, .generation = m_generation, .bucket = bucket_for(who)};
    return m_shares.insert_or_assign(who.name, std::move(made)).first->second;
}

grant_response limit_coordinator::ask(std::string_view account, const accounts::authorizer& authorizer,
                                      time_point now) {
    const auto* who = authorizer.accounts().find(account);
    // Without a lease on its configuration this proxy may be one whom the others
    // have replaced long since, or know an older limit.
    if (who == nullptr || !who->limit || !m_complete || !authorizer.lease().is_valid(now)) {
        return {.outcome = grant_outcome::not_coordinator};
    }
    auto& share = share_for(*who, now);
    if (!share.mine) {
        return {.outcome = grant_outcome::not_coordinator};
    }
    if (share.bucket.take(now)) {
        return {.outcome = grant_outcome::granted};
    }
    return {.outcome = grant_outcome::used_up, .wait = share.bucket.wait(now)};
}

} // namespace cornellever::limits
