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

/// Another proxy, as it is asked for grants.
struct coordinator_endpoint {
    std::string name;
    std::string data_center;
    asio::ip::udp::endpoint address;

    friend bool operator==(const coordinator_endpoint&, const coordinator_endpoint&) = default;
};

/// Asks another proxy for a grant; nothing when no answer comes by then.
template <typename T>
concept grant_channel = requires(T channel, const asio::ip::udp::endpoint& to, const std::string& account,
                                 boot_clock::time_point until) {
    { channel.ask(to, account, until) } -> std::same_as<asio::awaitable<std::optional<grant_response>>>;
};

/// Whether an operation may run under its account's limit.
struct admission_result {
    enum class kind {
        granted,
        used_up,
        /// None of the coordinators that were asked said anything.
        unknown,
    };

    kind what{kind::granted};
    /// When it is worth asking again.
    std::chrono::milliseconds wait{0};
    /// Coordinators that were asked.
    std::size_t asked{0};
};

/// Has the operations of this proxy's callers granted by the coordinators of
/// their accounts. Used from the traffic thread only.
template <grant_channel Channel>
class limiter {
public:
    using time_point = boot_clock::time_point;

    limiter(Channel& channel, limit_coordinator& desk, std::string self, std::string data_center)
        : m_channel{channel}
        , m_desk{desk}
        , m_self{std::move(self)}
        , m_data_center{std::move(data_center)} {}

    /// The proxies that there are, this one among them, and whether these are
    /// known to be all.
    void set_proxies(std::vector<coordinator_endpoint> proxies, bool complete = true);

    /// Has one operation of an account granted.
    asio::awaitable<admission_result> admit(std::string account, accounts::rate_limit limit,
                                            const accounts::authorizer& authorizer);

private:
    [[nodiscard]] std::vector<const coordinator_endpoint*> order_for(std::string_view account,
                                                                     const accounts::rate_limit& limit, time_point now);
    asio::awaitable<std::optional<grant_response>> ask(const coordinator_endpoint& one, const std::string& account,
                                                       const accounts::authorizer& authorizer);

    /// Coordinators that may leave a question of one operation unanswered. Those
    /// that answer are asked one after the other: the share of one may be used up
    /// while the others' are not.
    static constexpr std::size_t most_silent = 3;
    /// An answer takes a round trip, on a busy VM some more. A caller that aims
    /// at 100 ms waits meanwhile.
    static constexpr std::chrono::milliseconds answer_limit{40};
    /// One that did not answer comes last for so long. In a partition that two in
    /// three of many proxies are behind, each operation meets others of them; for
    /// a second each, a proxy would not have found out about all.
    static constexpr std::chrono::milliseconds doubted_for{3000};
    /// An account whose coordinators had nothing left is not asked for again by
    /// each of the requests of a flood.
    static constexpr std::chrono::milliseconds used_up_for{50};

    Channel& m_channel;
    limit_coordinator& m_desk;
    std::string m_self;
    std::string m_data_center;
    std::map<std::string, coordinator_endpoint, std::less<>> m_places;
    /// Coordinators that did not answer, and when.
    std::map<std::string, time_point, std::less<>> m_doubted;
    /// Accounts whose limit was found used up: until when, and the wait then.
    std::map<std::string, std::pair<time_point, std::chrono::milliseconds>, std::less<>> m_used_up;
    std::size_t m_turn{0};
};

template <grant_channel Channel>
void limiter<Channel>::set_proxies(std::vector<coordinator_endpoint> proxies, bool complete) {
    std::vector<std::string> names;
    m_places.clear();
    for (auto& item : proxies) {
        names.push_back(item.name);
        auto name = item.name;
        m_places.insert_or_assign(std::move(name), std::move(item));
    }
    std::erase_if(m_doubted, [&](const auto& item) { return !m_places.contains(item.first); });
    m_desk.set_proxies(std::move(names), boot_clock::now(), complete);
}

/// Those of the same data centre first, each of them in turn, since each holds
/// an equal share; those that did not answer lately last.
template <grant_channel Channel>
std::vector<const coordinator_endpoint*>
limiter<Channel>::order_for(std::string_view account, const accounts::rate_limit& limit, time_point now) {
    std::vector<const coordinator_endpoint*> out;
    for (const auto& name : m_desk.coordinators(account, limit)) {
        const auto found = m_places.find(name);
        if (found != m_places.end()) {
            out.push_back(&found->second);
        }
    }
    if (out.empty()) {
        return out;
    }
    std::ranges::rotate(out, out.begin() + static_cast<std::ptrdiff_t>(m_turn++ % out.size()));
    std::ranges::stable_partition(out, [&](const auto* item) { return item->data_center == m_data_center; });
    std::ranges::stable_partition(out, [&](const auto* item) {
        const auto found = m_doubted.find(item->name);
        return found == m_doubted.end() || now - found->second >= doubted_for;
    });
    return out;
}

template <grant_channel Channel>
asio::awaitable<std::optional<grant_response>> limiter<Channel>::ask(const coordinator_endpoint& one,
                                                                     const std::string& account,
                                                                     const accounts::authorizer& authorizer) {
    if (one.name == m_self) {
        co_return m_desk.ask(account, authorizer, boot_clock::now());
    }
    const auto name = one.name;
    if (const auto found = m_doubted.find(name); found != m_doubted.end()) {
        // This question tries it again; the others go to those that answer.
        found->second = boot_clock::now();
    }
    auto answer = co_await m_channel.ask(one.address, account, boot_clock::now() + answer_limit);
    if (answer) {
        m_doubted.erase(name);
    } else {
        m_doubted[name] = boot_clock::now();
    }
    co_return answer;
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
    // Copies: the proxies may change while one of them is asked.
    std::vector<coordinator_endpoint> order;
    for (const auto* item : order_for(account, limit, now)) {
        order.push_back(*item);
    }
    admission_result out{admission_result::kind::unknown, answer_limit, 0};
    std::size_t silent = 0;
    for (const auto& one : order) {
        ++out.asked;
        const auto answer = co_await ask(one, account, authorizer);
        if (!answer && ++silent == most_silent) {
            break;
        }
        if (!answer || answer->outcome == grant_outcome::not_coordinator) {
            continue;
        }
        if (answer->outcome == grant_outcome::granted) {
            co_return admission_result{admission_result::kind::granted, std::chrono::milliseconds{0}, out.asked};
        }
        const bool first = out.what != admission_result::kind::used_up;
        out.what = admission_result::kind::used_up;
        out.wait = first ? answer->wait : std::min(out.wait, answer->wait);
    }
    if (out.what == admission_result::kind::used_up) {
        m_used_up.insert_or_assign(std::move(account), std::pair{boot_clock::now() + used_up_for, out.wait});
    }
    co_return out;
}

} // namespace cornellever::limits
