#include "cornellever/routing/account_shares.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numbers>
#include <numeric>
#include <utility>

namespace cornellever::routing {

namespace {

/// Fraction of the capacity that is divided into shares. If the shares added up to the whole capacity, the queue of the
/// requests within their shares would grow without bound (utilisation 1). The rest serves requests over their share.
/// With 0.9, accounts whose demand adds up to 0.8 were at times over their share because of its random variation.
constexpr double divided_fraction = 0.95;

/// The use of a server is forgotten when less than this is left of it, which is less than one statement takes.
constexpr double negligible_ms = 1.0;

double decay(boot_clock::time_point from, boot_clock::time_point to) {
    using seconds = std::chrono::duration<double>;
    return std::exp2(-(seconds{to - from} / seconds{account_shares::half_life}));
}

double concurrency_of(std::span<const shared_server> servers) {
    return std::accumulate(servers.begin(), servers.end(), 0.0,
                           [](double sum, const auto& item) { return sum + static_cast<double>(item.concurrency); });
}

} // namespace

slot_time charged_time(slot_time measured, std::size_t slots, std::size_t in_flight) {
    return in_flight <= slots ? measured : measured * static_cast<double>(slots) / static_cast<double>(in_flight);
}

account_shares::claim::claim(account_load& account, std::vector<load*> servers, slot_time expected, bool over_share)
    : m_account{&account}
    , m_servers{std::move(servers)}
    , m_each{expected.count() / static_cast<double>(m_servers.size())}
    , m_over_share{over_share} {
    ++m_account->claims;
    add(m_each, 1.0 / static_cast<double>(m_servers.size()));
}

account_shares::claim::~claim() {
    if (m_account != nullptr) {
        --m_account->claims;
        add(-m_each, -1.0 / static_cast<double>(m_servers.size()));
    }
}

void account_shares::claim::add(double each, double requests) {
    for (auto* item : m_servers) {
        item->queued += each;
        item->requests += requests;
        item->queued_within += m_over_share ? 0.0 : each;
    }
}

account_shares::account_load& account_shares::load_of(std::string_view account, time_point now) {
    auto at = m_accounts.find(account);
    if (at == m_accounts.end()) {
        at = m_accounts.emplace(account, account_load{.servers = {}, .at = now}).first;
    }
    auto& out = at->second;
    const auto factor = decay(out.at, now);
    for (auto& [id, item] : out.servers) {
        item.used *= factor;
    }
    out.at = now;
    return out;
}

void account_shares::record(std::string_view account, std::string_view server, slot_time used, time_point now) {
    if (account.empty() && m_accounts.empty()) {
        return;
    }
    auto& servers = load_of(account, now).servers;
    auto at = servers.find(server);
    if (at == servers.end()) {
        at = servers.emplace(server, load{}).first;
    }
    at->second.used += used.count();
}

account_shares::demand account_shares::demand_of(const account_load& of, std::span<const shared_server> servers,
                                                 time_point now) {
    demand out;
    const auto factor = decay(of.at, now);
    for (const auto& server : servers) {
        if (const auto at = of.servers.find(server.id); at != of.servers.end()) {
            const auto used = at->second.used * factor;
            out.used += used;
            out.within += used + at->second.queued_within;
            out.total += used + at->second.queued;
            out.requests += at->second.requests;
        }
    }
    return out;
}

bool account_shares::over_share(std::string_view account, std::span<const shared_server> servers,
                                time_point now) const {
    const auto at = account.empty() ? m_accounts.end() : m_accounts.find(account);
    if (at == m_accounts.end()) {
        return false;
    }
    // With max-min fairness, demands up to the share are met and larger ones get the share. The account is above the
    // share if more than the capacity were needed to give as much to every account that demands it.
    const auto own = demand_of(at->second, servers, now).within;
    double needed = 0.0;
    demand all;
    for (const auto& [name, item] : m_accounts) {
        const auto other = demand_of(item, servers, now);
        needed += std::min(own, other.total);
        all.within += other.within;
        all.requests += other.requests;
    }
    // Slots that were idle before the overload began can no longer be used. A queue as long as a whole round of
    // statements shows that the pool runs all it can, so what is divided then is what was in use.
    const auto slots = concurrency_of(servers);
    auto capacity = slots * slot_time{half_life}.count() / std::numbers::ln2;
    if (all.requests >= slots) {
        capacity = std::min(capacity, all.within);
    }
    return needed > divided_fraction * capacity;
}

account_shares::claim account_shares::enqueue(std::string_view account, std::span<const shared_server> servers,
                                              slot_time expected, bool others_wait, time_point now) {
    if (servers.empty() || (account.empty() && m_accounts.empty())) {
        return claim{};
    }
    const bool over = others_wait && over_share(account, servers, now);
    auto& of = load_of(account, now);
    std::vector<load*> loads;
    for (const auto& server : servers) {
        loads.push_back(&of.servers[std::string{server.id}]);
    }
    return claim{of, std::move(loads), expected, over};
}

void account_shares::forget_idle(time_point now) {
    for (auto at = m_accounts.begin(); at != m_accounts.end();) {
        auto& [name, of] = *at;
        if (of.claims == 0) {
            const auto factor = decay(of.at, now);
            std::erase_if(of.servers, [&](const auto& one) { return one.second.used * factor < negligible_ms; });
        }
        at = of.claims == 0 && of.servers.empty() ? m_accounts.erase(at) : std::next(at);
    }
}

std::vector<account_usage> account_shares::usage(std::span<const shared_server> servers, bool requests_wait,
                                                 time_point now) const {
    std::vector<account_usage> out;
    for (const auto& [name, item] : m_accounts) {
        const auto used = demand_of(item, servers, now).used;
        if (!name.empty() && used >= negligible_ms) {
            out.push_back({name, slot_time{used}, requests_wait && over_share(name, servers, now)});
        }
    }
    return out;
}

} // namespace cornellever::routing
