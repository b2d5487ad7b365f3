#pragma once

#include <algorithm>
#include <chrono>
#include <concepts>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cornellever/core/asio.hpp"
#include "cornellever/core/boot_clock.hpp"
#include "cornellever/limits/limit_coordinator.hpp"

namespace cornellever::limits {

/// A proxy and the address at which it receives grant requests.
struct coordinator_endpoint {
    std::string name;
    std::string data_center;
    asio::ip::udp::endpoint address;

    friend bool operator==(const coordinator_endpoint&, const coordinator_endpoint&) = default;
};

/// Sends grant requests to other proxies. `request_grant` returns nothing if no response arrives by `until`.
template <typename T>
concept grant_channel = requires(T channel, const asio::ip::udp::endpoint& to, const std::string& account,
                                 boot_clock::time_point until) {
    { channel.request_grant(to, account, until) } -> std::same_as<asio::awaitable<std::optional<grant_response>>>;
};

/// The result of admission control, which decides whether an operation may run under its account's limit.
struct admission_result {
    enum class kind {
        granted,
        used_up,
        /// None of the coordinators that were asked granted or refused the operation.
        unknown,
    };

    kind outcome{kind::granted};
    /// After what time a retry is useful.
    std::chrono::milliseconds wait{0};
    /// Number of coordinators that were asked.
    std::size_t asked{0};
};

/// Applies admission control to the operations of the callers (client applications) that are connected to this proxy.
/// For each operation, the limiter requests a grant from the coordinators of the operation's account, which are the
/// proxies that divide the account's limit among them. Used only from the traffic thread, which processes the callers'
/// requests.
template <grant_channel Channel>
class limiter {
public:
    using time_point = boot_clock::time_point;

    limiter(Channel& channel, limit_coordinator& coordinator, std::string self, std::string data_center)
        : m_channel{channel}
        , m_coordinator{coordinator}
        , m_self{std::move(self)}
        , m_data_center{std::move(data_center)} {}

    /// Sets the known proxies, including this one. `complete` is true if the list contains all proxies.
    void set_proxies(std::vector<coordinator_endpoint> proxies, bool complete = true);

    /// Requests a grant for one operation of an account.
    asio::awaitable<admission_result> admit(std::string account, accounts::rate_limit limit,
                                            const accounts::authorizer& authorizer);

private:
    [[nodiscard]] std::vector<const coordinator_endpoint*>
    coordinators_in_order(std::string_view account, const accounts::rate_limit& limit, time_point now);
    asio::awaitable<std::optional<grant_response>> request_grant(const coordinator_endpoint& target,
                                                                 const std::string& account,
                                                                 const accounts::authorizer& authorizer);

    /// The number of coordinators that may fail to respond before the search for a grant ends without one. Coordinators
    /// are asked one after another until one grants the operation, since one share may be used up while others are not.
    static constexpr std::size_t max_unanswered = 3;
    /// Covers a round trip, which takes longer on a busy VM. The caller waits during this time, and its target latency
    /// may be only 100 ms.
    static constexpr std::chrono::milliseconds response_timeout{40};
    /// How long a coordinator that did not respond is asked only after the others. When a partition separates a proxy
    /// from two thirds of many proxies, each operation asks different coordinators, and 1 s would be too short to find
    /// out about all that do not respond.
    static constexpr std::chrono::milliseconds suspect_duration{3000};
    /// How long the proxy remembers that a limit is used up. During this time, requests of the account are refused
    /// without asking the coordinators again.
    static constexpr std::chrono::milliseconds used_up_duration{50};

    Channel& m_channel;
    limit_coordinator& m_coordinator;
    std::string m_self;
    std::string m_data_center;
    std::map<std::string, coordinator_endpoint, std::less<>> m_endpoints;
    /// The coordinators that did not respond, with the time of the last failure.
    std::map<std::string, time_point, std::less<>> m_suspects;
    /// The accounts whose limit is used up, with the time until which this is remembered and the wait to report.
    std::map<std::string, std::pair<time_point, std::chrono::milliseconds>, std::less<>> m_used_up;
    std::size_t m_rotation{0};
};

template <grant_channel Channel>
void limiter<Channel>::set_proxies(std::vector<coordinator_endpoint> proxies, bool complete) {
    std::vector<std::string> names;
    m_endpoints.clear();
    for (auto& item : proxies) {
        names.push_back(item.name);
        auto name = item.name;
        m_endpoints.insert_or_assign(std::move(name), std::move(item));
    }
    std::erase_if(m_suspects, [&](const auto& item) { return !m_endpoints.contains(item.first); });
    m_coordinator.set_proxies(std::move(names), boot_clock::now(), complete);
}

/// Returns an account's coordinators in the order in which to ask them. Coordinators in this data centre come first,
/// and those that did not respond recently come last. The order is rotated at each call, because all shares are equal.
template <grant_channel Channel>
std::vector<const coordinator_endpoint*>
limiter<Channel>::coordinators_in_order(std::string_view account, const accounts::rate_limit& limit, time_point now) {
    std::vector<const coordinator_endpoint*> out;
    for (const auto& name : m_coordinator.coordinators(account, limit)) {
        const auto found = m_endpoints.find(name);
        if (found != m_endpoints.end()) {
            out.push_back(&found->second);
        }
    }
    if (out.empty()) {
        return out;
    }
    std::ranges::rotate(out, out.begin() + static_cast<std::ptrdiff_t>(m_rotation++ % out.size()));
    std::ranges::stable_partition(out, [&](const auto* item) { return item->data_center == m_data_center; });
    std::ranges::stable_partition(out, [&](const auto* item) {
        const auto found = m_suspects.find(item->name);
        return found == m_suspects.end() || now - found->second >= suspect_duration;
    });
    return out;
}

template <grant_channel Channel>
asio::awaitable<std::optional<grant_response>> limiter<Channel>::request_grant(const coordinator_endpoint& target,
                                                                               const std::string& account,
                                                                               const accounts::authorizer& authorizer) {
    if (target.name == m_self) {
        co_return m_coordinator.grant(account, authorizer, boot_clock::now());
    }
    const auto name = target.name;
    if (const auto found = m_suspects.find(name); found != m_suspects.end()) {
        // This request tests whether the coordinator responds again. Until the coordinator does, other requests
        // continue to ask it last.
        found->second = boot_clock::now();
    }
    auto response = co_await m_channel.request_grant(target.address, account, boot_clock::now() + response_timeout);
    if (response) {
        m_suspects.erase(name);
    } else {
        m_suspects[name] = boot_clock::now();
    }
    co_return response;
}

template <grant_channel Channel>
asio::awaitable<admission_result> limiter<Channel>::admit(std::string account, accounts::rate_limit limit,
                                                          const accounts::authorizer& authorizer) {
    const auto now = boot_clock::now();
    if (const auto found = m_used_up.find(account); found != m_used_up.end()) {
        if (now < found->second.first) {
            co_return admission_result{admission_result::kind::used_up, found->second.second, 0};
        }
        m_used_up.erase(found);
    }
    // The endpoints are copied, because the list of proxies may change while a response is awaited.
    std::vector<coordinator_endpoint> order;
    for (const auto* item : coordinators_in_order(account, limit, now)) {
        order.push_back(*item);
    }
    admission_result out{admission_result::kind::unknown, response_timeout, 0};
    std::size_t unanswered = 0;
    for (const auto& target : order) {
        ++out.asked;
        const auto response = co_await request_grant(target, account, authorizer);
        if (!response && ++unanswered == max_unanswered) {
            break;
        }
        if (!response || response->outcome == grant_outcome::not_coordinator) {
            continue;
        }
        if (response->outcome == grant_outcome::granted) {
            co_return admission_result{admission_result::kind::granted, std::chrono::milliseconds{0}, out.asked};
        }
        const bool first = out.outcome != admission_result::kind::used_up;
        out.outcome = admission_result::kind::used_up;
        out.wait = first ? response->wait : std::min(out.wait, response->wait);
    }
    if (out.outcome == admission_result::kind::used_up) {
        m_used_up.insert_or_assign(std::move(account), std::pair{boot_clock::now() + used_up_duration, out.wait});
    }
    co_return out;
}

} // namespace cornellever::limits
