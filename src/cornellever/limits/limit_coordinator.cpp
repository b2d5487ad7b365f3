#include "cornellever/limits/limit_coordinator.hpp"

#include <algorithm>
#include <utility>

#include "cornellever/limits/coordinators.hpp"

namespace cornellever::limits {

namespace {

std::vector<std::string> coordinators_among(std::span<const std::string> proxies, std::string_view account,
                                            const accounts::rate_limit& limit, const limit_bound& bound) {
    std::vector<std::string> out;
    for (const auto index : choose_coordinators(account, coordinator_count(limit, bound, proxies.size()), proxies)) {
        out.push_back(proxies[index]);
    }
    return out;
}

} // namespace

void limit_coordinator::set_proxies(std::vector<std::string> names, time_point now, bool complete) {
    if (m_complete) {
        m_former_lists.push_back({std::move(m_proxies), now});
    } else {
        m_complete_since = now;
        m_complete = complete;
    }
    m_proxies = std::move(names);
    ++m_generation;
    while (!m_former_lists.empty() && now - m_former_lists.front().replaced_at >= takeover_delay) {
        m_discarded_until = m_former_lists.front().replaced_at;
        m_former_lists.pop_front();
    }
}

std::vector<std::string> limit_coordinator::coordinators(std::string_view account,
                                                         const accounts::rate_limit& limit) const {
    return coordinators_among(m_proxies, account, limit, m_bound);
}

bool limit_coordinator::is_coordinator_among(std::span<const std::string> proxies,
                                             const accounts::account& account) const {
    const auto chosen = coordinators_among(proxies, account.name, *account.limit, m_bound);
    return std::ranges::find(chosen, m_self) != chosen.end();
}

limit_share limit_coordinator::current_share(const accounts::account& account) const {
    return share_of(*account.limit, m_bound, coordinator_count(*account.limit, m_bound, m_proxies.size()));
}

/// Returns the time from which this proxy is the only holder of its share. A proxy that held the share before may not
/// know for up to `takeover_delay` that another proxy has replaced it.
limit_coordinator::time_point limit_coordinator::share_held_since(const accounts::account& account) const {
    auto out = m_complete_since;
    if (m_discarded_until != time_point{}) {
        out = std::max(out, m_discarded_until + takeover_delay);
    }
    for (const auto& item : m_former_lists) {
        if (!is_coordinator_among(item.names, account)) {
            out = std::max(out, item.replaced_at + takeover_delay);
        }
    }
    return out;
}

/// Creates the token bucket of a share at the first request. The bucket's level is computed as if the bucket had
/// existed since this proxy began to hold the share.
token_bucket limit_coordinator::make_bucket(const accounts::account& account) const {
    const auto share = current_share(account);
    const auto since = share_held_since(account);
    const bool never_granted = m_first_start && since == m_complete_since;
    return {share, never_granted ? share.capacity : share.initial_level, since};
}

limit_coordinator::share_state& limit_coordinator::share_for(const accounts::account& account, time_point now) {
    auto found = m_shares.find(account.name);
    const bool known = found != m_shares.end();
    if (known && found->second.generation == m_generation && found->second.limit == *account.limit) {
        return found->second;
    }
    const bool coordinated = is_coordinator_among(m_proxies, account);
    if (coordinated && known && found->second.coordinated) {
        found->second.bucket.set_share(current_share(account), now);
        found->second.limit = *account.limit;
        found->second.generation = m_generation;
        return found->second;
    }
    share_state created{.coordinated = coordinated,
                        .limit = *account.limit,
                        .generation = m_generation,
                        .bucket = make_bucket(account)};
    return m_shares.insert_or_assign(account.name, std::move(created)).first->second;
}

grant_response limit_coordinator::grant(std::string_view account_name, const accounts::authorizer& authorizer,
                                        time_point now) {
    const auto* account = authorizer.accounts().find(account_name);
    // Without a valid configuration lease, the other proxies may have replaced this proxy as a coordinator, or this
    // proxy may know an outdated limit.
    if (account == nullptr || !account->limit || !m_complete || !authorizer.lease().is_valid(now)) {
        return {.outcome = grant_outcome::not_coordinator};
    }
    auto& share = share_for(*account, now);
    if (!share.coordinated) {
        return {.outcome = grant_outcome::not_coordinator};
    }
    if (share.bucket.take(now)) {
        return {.outcome = grant_outcome::granted};
    }
    return {.outcome = grant_outcome::used_up, .wait = share.bucket.wait(now)};
}

} // namespace cornellever::limits
