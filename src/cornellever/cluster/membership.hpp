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

/// What is known about another proxy.
struct peer {
    asio::ip::udp::endpoint address;
    std::string data_center;
    std::uint64_t incarnation{0};
    /// Incarnation of the peer's previous process. Late messages from that process are ignored.
    std::uint64_t previous_incarnation{0};
    /// When the peer's last message arrived; the epoch if none has arrived.
    boot_clock::time_point last_message_at{};
    /// When the peer was last known to be alive, from a message of its own or from gossip.
    boot_clock::time_point alive_at{};
    /// When the peer was added to the membership.
    boot_clock::time_point known_since{};
    /// When this proxy sent the first heartbeat question that followed the peer's last message; the
    /// epoch if no question is unanswered.
    boot_clock::time_point unanswered_since{};
    std::uint64_t config_version{0};
    std::uint64_t registry_version{0};
    bool store_reachable{true};
    /// The peer's reports on primaries, and the time to which the ages in the reports refer.
    std::vector<primary_report> primaries{};
    boot_clock::time_point reported_at{};
};

/// The peers to which the next heartbeat question is sent.
struct heartbeat_targets {
    /// Peers that use the same services as this proxy; in a small cluster, all peers.
    std::vector<asio::ip::udp::endpoint> service_peers;
    /// Other peers. The question to them and their answers also carry gossip about which proxies
    /// are alive.
    std::vector<asio::ip::udp::endpoint> gossip_peers;
};

/// The other proxies (peers) by name. A proxy is discovered from its row in the metadata store or
/// from its first heartbeat, whichever comes first. Failures are detected in the manner of the SWIM
/// protocol: each proxy sends heartbeat questions to a few peers, learns from gossip about the
/// others, and removes a peer only after that peer left a direct question unanswered.
class membership {
public:
    using time_point = boot_clock::time_point;

    /// A proxy counts as alive for this long after the last evidence of it. Heartbeats are at most
    /// half a second apart, so two may be lost. In large clusters, where each proxy asks only some
    /// of the others, gossip provides the evidence instead of a heartbeat.
    static constexpr std::chrono::milliseconds alive_timeout{1600};
    /// A proxy that was killed has restarted or has been replaced within this time. Until then, the
    /// other proxies do not take over the server connections allocated to it.
    static constexpr std::chrono::milliseconds removal_timeout{8000};
    /// A proxy without a sign of life for this long is asked directly, well before it would be
    /// removed.
    static constexpr std::chrono::milliseconds suspect_after{4000};
    /// An answer takes milliseconds. This timeout allows for one lost question or answer, since the
    /// next question follows half a second later.
    static constexpr std::chrono::milliseconds answer_timeout{1000};
    /// Maximum number of suspects (see `suspect_after`) asked at a time. Further suspects are
    /// confirmed alive by later gossip or asked later; a proxy that has not been asked is not
    /// removed.
    static constexpr std::size_t max_suspects_asked = 8;

    explicit membership(std::string self) : m_self{std::move(self)} {}

    /// Adds a proxy that may be running at `address`. If the proxy is already known, its address is
    /// updated unless the proxy is alive.
    void add_peer(const std::string& name, const std::string& data_center, const asio::ip::udp::endpoint& address,
                  time_point now);

    /// Records a message; the ages in it refer to the time `ages_as_of`. Returns true if the
    /// sender's process was not known before.
    bool record_message(const peer_message& message, const asio::ip::udp::endpoint& from, time_point now,
                        time_point ages_as_of);

    /// Records that another proxy reported the peer `other` to be alive. An unknown peer is ignored
    /// because gossip does not carry its address; it is discovered from its row in the store or
    /// from its heartbeat.
    void record_alive(const peer_liveness& other, time_point now);

    /// Returns a random sample of up to `count` peers that are alive, to be sent as gossip.
    template <typename Random>
    [[nodiscard]] std::vector<peer_liveness> sample_alive(std::size_t count, time_point now, Random& random) const {
        using known = std::pair<const std::string, peer>;
        std::vector<const known*> alive;
        alive.reserve(m_peers.size());
        for (const auto& item : m_peers) {
            if (is_alive(item.second, now)) {
                alive.push_back(&item);
            }
        }
        std::vector<const known*> chosen;
        std::ranges::sample(alive, std::back_inserter(chosen), static_cast<std::ptrdiff_t>(count), random);
        std::vector<peer_liveness> out;
        out.reserve(chosen.size());
        for (const auto* item : chosen) {
            out.push_back(
                {item->first, std::chrono::duration_cast<std::chrono::milliseconds>(now - item->second.alive_at)});
        }
        return out;
    }

    /// Selects the peers to ask now: all peers if there are at most `max_peers`. Otherwise, first
    /// the peers that also use one of `services`, because they observe the same primaries: those in
    /// `owners`, which are allocated connections to the services, and those that have reported on
    /// the services. In addition, a few of the other peers for gossip: the peer without a sign of
    /// life for longest, one of the same data centre, one at random, and suspects.
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
        const auto pick = [&](auto found) {
            if (found != rest.end()) {
                out.gossip_peers.push_back((*found)->address);
                rest.erase(found);
            }
        };
        pick(std::ranges::min_element(rest, {}, &peer::alive_at));
        pick(std::ranges::find(rest, data_center, &peer::data_center));
        pick(rest.begin());
        for (std::size_t i = 0; i < max_suspects_asked; ++i) {
            pick(std::ranges::find_if(rest, [now](const auto* item) { return is_suspect(*item, now); }));
        }
        return out;
    }

    /// Records that heartbeat questions were sent to these addresses.
    void record_sent(std::span<const asio::ip::udp::endpoint> addresses, time_point now);

    /// Removes a proxy that announced its shutdown.
    void leave(const std::string& name);

    /// Removes the proxies that were not known to be alive for `removal_timeout` and left a
    /// question of this proxy unanswered; returns their names. Silence alone is not enough
    /// evidence: with 195 proxies, each learns about any other only every few seconds on average.
    /// When silence was enough, healthy proxies removed each other 300 times a second and
    /// reallocated the connections each time.
    std::vector<std::string> remove_unresponsive(time_point now);

    [[nodiscard]] const std::map<std::string, peer, std::less<>>& peers() const noexcept { return m_peers; }

    /// Returns the sorted names of the proxies that are alive and can reach the metadata store.
    /// Always includes this proxy, whether it can reach the store or not.
    [[nodiscard]] std::vector<std::string> eligible(time_point now) const;

    /// Returns the number of proxies among which the connections to the servers are divided,
    /// including this one.
    [[nodiscard]] std::size_t proxy_count() const noexcept { return m_peers.size() + 1; }

    [[nodiscard]] static bool is_alive(const peer& item, time_point now) {
        return item.alive_at != time_point{} && now - item.alive_at < alive_timeout;
    }

    /// Whether a proxy can be assumed to be alive without evidence from the last `alive_timeout`:
    /// either it gave a sign of life within `removal_timeout` and has left no question unanswered,
    /// or it was discovered too recently for any sign of life to have arrived.
    [[nodiscard]] static bool is_presumed_alive(const peer& item, time_point now) {
        if (item.alive_at == time_point{}) {
            return now - item.known_since < alive_timeout;
        }
        return is_alive(item, now) || (!failed_to_answer(item, now) && now - item.alive_at < removal_timeout);
    }

private:
    /// Whether a peer is to be asked directly because there has been no sign of life from it for
    /// `suspect_after`. A suspect is asked two or three times and then no more, because many peers
    /// may be behind a broken network path.
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
