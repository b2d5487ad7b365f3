#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iterator>
#include <map>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "cornellever/cluster/peer_message.hpp"
#include "cornellever/core/asio.hpp"
#include "cornellever/core/boot_clock.hpp"

namespace cornellever::cluster {

/// Another proxy.
struct peer {
    asio::ip::udp::endpoint address;
    std::string data_center;
    std::uint64_t incarnation{0};
    /// Of its process before this one, whose late messages don't count.
    std::uint64_t previous_incarnation{0};
    /// When it last answered or asked; the epoch when never.
    boot_clock::time_point last_message_at{};
    /// When it was last alive, by its own message or by another proxy's word.
    boot_clock::time_point alive_at{};
    /// When a message was first awaited from it.
    boot_clock::time_point known_since{};
    /// The first question to it since its last message; the epoch when none.
    boot_clock::time_point unanswered_since{};
    std::uint64_t config_version{0};
    std::uint64_t registry_version{0};
    bool store_reachable{true};
    /// Its reports, and the time from which their ages count.
    std::vector<primary_report> primaries{};
    boot_clock::time_point reported_at{};
};

/// Whom a proxy asks at a time.
struct heartbeat_targets {
    std::vector<asio::ip::udp::endpoint> service_peers;
    /// With these it also exchanges the word on others.
    std::vector<asio::ip::udp::endpoint> gossip_peers;
};

/// The other proxies by name. A proxy is known from its row in the store, or
/// from its own heartbeat, whichever comes first.
class membership {
public:
    using time_point = boot_clock::time_point;

    /// A heartbeat at least every half second: two may be lost. Where each asks
    /// only some, another's word takes the place of the heartbeat.
    static constexpr std::chrono::milliseconds alive_timeout{1600};
    /// A proxy that was killed is back, or replaced, by then; its connections
    /// are left to it until then.
    static constexpr std::chrono::milliseconds removal_timeout{8000};
    /// Nobody's word of it for so long: it is asked itself, well before it
    /// would be dropped.
    static constexpr std::chrono::milliseconds suspect_after{4000};
    /// An answer takes milliseconds; the question or it may be lost, and the
    /// next one is half a second later.
    static constexpr std::chrono::milliseconds answer_timeout{1000};
    /// Doubted proxies that are asked at a time. With more, the word of others
    /// reaches each only later, and none is dropped for that.
    static constexpr std::size_t max_suspects_asked = 8;

    explicit membership(std::string self) : m_self{std::move(self)} {}

    /// A proxy that may be up at `address`. A name that moved to another
    /// address is taken there.
    void add_peer(const std::string& name, const std::string& data_center, const asio::ip::udp::endpoint& address,
                  time_point now);

    /// A message of a proxy, whose ages count from `ages_as_of`. Returns
    /// true when this process of it was not known before.
    bool record_message(const peer_message& message, const asio::ip::udp::endpoint& from, time_point now,
                        time_point ages_as_of);

    /// Another proxy heard of it so long ago. One that is not known yet has no
    /// address, and is learned of elsewhere.
    void record_alive(const peer_liveness& other, time_point now);

    /// Up to `count` proxies that were alive lately, for a message.
    template <typename Random>
    [[nodiscard]] std::vector<peer_liveness> sample_alive(std::size_t count, time_point now, Random& random) const {
        using known = std::pair<const std::string, peer>;
        std::vector<const known*> alive;
        for (const auto& item : m_peers) {
            if (is_alive(item.second, now)) {
                alive.push_back(&item);
            }
        }
        std::vector<const known*> chosen;
        std::ranges::sample(alive, std::back_inserter(chosen), static_cast<std::ptrdiff_t>(count), random);
        std::vector<peer_liveness> out;
        for (const auto* item : chosen) {
            out.push_back(
                {item->first, std::chrono::duration_cast<std::chrono::milliseconds>(now - item->second.alive_at)});
        }
        return out;
    }

    /// The proxies to ask now: all while they are `most` or fewer. Otherwise
    /// those that use one of `services` too, since they see the same primaries:
    /// the `owners` of their connections, whether they have said so yet or not,
    /// and those that said so. Besides, some of the rest to exchange the word on
    /// others with: the one that was silent for longest and others of which no
    /// word came lately, one of the same data centre, and one more.
    template <typename Random>
    [[nodiscard]] heartbeat_targets
    select_targets(const std::set<std::string, std::less<>>& services, const std::set<std::string, std::less<>>& owners,
                   std::string_view data_center, std::size_t max_peers, time_point now, Random& random) const {
        heartbeat_targets out;
        std::vector<const peer*> rest;
        for (const auto& [name, item] : m_peers) {
            const bool shares = owners.contains(name) || std::ranges::any_of(item.primaries, [&](const auto& report) {
                                    return services.contains(report.service);
                                });
            if (shares || m_peers.size() <= max_peers) {
                out.service_peers.push_back(item.address);
            } else {
                rest.push_back(&item);
            }
        }
        std::ranges::shuffle(out.service_peers, random);
        std::ranges::shuffle(rest, random);
        out.service_peers.resize(std::min(out.service_peers.size(), max_peers));
        const auto take = [&](auto found) {
            if (found != rest.end()) {
                out.gossip_peers.push_back((*found)->address);
                rest.erase(found);
            }
        };
        take(std::ranges::min_element(rest, {}, &peer::alive_at));
        take(std::ranges::find(rest, data_center, &peer::data_center));
        take(rest.begin());
        for (std::size_t i = 0; i < max_suspects_asked; ++i) {
            take(std::ranges::find_if(rest, [now](const auto* item) { return is_suspect(*item, now); }));
        }
        return out;
    }

    /// Questions were sent to these addresses.
    void record_sent(std::span<const asio::ip::udp::endpoint> addresses, time_point now);

    /// The proxy leaves by plan.
    void leave(const std::string& name);

    /// Drops proxies of which no word came for `removal_timeout` and that did not
    /// answer this one either; returns their names. Silence alone is no
    /// evidence: with 195 proxies each hears of another every few seconds on
    /// average, and on a day without any fault they dropped each other 300 times
    /// a second and shared out connections anew each time.
    std::vector<std::string> remove_unresponsive(time_point now);

    [[nodiscard]] const std::map<std::string, peer, std::less<>>& peers() const noexcept { return m_peers; }

    /// Names of the proxies that are alive and reach the store, in order; this
    /// one is among them whether it reaches the store or not.
    [[nodiscard]] std::vector<std::string> eligible(time_point now) const;

    /// Proxies whose connections count, this one among them.
    [[nodiscard]] std::size_t proxy_count() const noexcept { return m_peers.size() + 1; }

    [[nodiscard]] static bool is_alive(const peer& item, time_point now) {
        return item.alive_at != time_point{} && now - item.alive_at < alive_timeout;
    }

    /// Whether a proxy may be taken to work although there was no word of it in
    /// the last second: it has not failed to answer, or is too new to have been
    /// heard of.
    [[nodiscard]] static bool is_presumed_alive(const peer& item, time_point now) {
        if (item.alive_at == time_point{}) {
            return now - item.known_since < alive_timeout;
        }
        return is_alive(item, now) || (!failed_to_answer(item, now) && now - item.alive_at < removal_timeout);
    }

private:
    /// Whether a proxy is to be asked since no word of it came; two or three
    /// times, and then no more: many may be behind a cut path.
    [[nodiscard]] static bool is_suspect(const peer& item, time_point now) {
        constexpr std::chrono::milliseconds asking_period{1500};
        return now - item.alive_at > suspect_after &&
               (item.unanswered_since == time_point{} || now - item.unanswered_since < asking_period);
    }

    [[nodiscard]] static bool failed_to_answer(const peer& item, time_point now) {
        return item.unanswered_since != time_point{} && now - item.unanswered_since > answer_timeout;
    }

    std::string m_self;
    std::map<std::string, peer, std::less<>> m_peers;
};

} // namespace cornellever::cluster
