#pragma once

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cornellever/cluster/control_settings.hpp"
#include "cornellever/cluster/membership.hpp"
#include "cornellever/cluster/metadata_store.hpp"
#include "cornellever/cluster/peer_message.hpp"
#include "cornellever/cluster/peer_traffic.hpp"
#include "cornellever/cluster/primary_judge.hpp"
#include "cornellever/cluster/promotion.hpp"
#include "cornellever/cluster/registry_keeper.hpp"
#include "cornellever/cluster/snapshot.hpp"
#include "cornellever/cluster/store_watch.hpp"
#include "cornellever/cluster/table_news.hpp"
#include "cornellever/cluster/traffic_bridge.hpp"
#include "cornellever/core/log.hpp"
#include "cornellever/core/scoped_increment.hpp"
#include "cornellever/core/stable_hash.hpp"
#include "cornellever/rpc/channel.hpp"
#include "cornellever/rpc/fields.hpp"
#include "cornellever/rpc/server.hpp"

namespace cornellever::cluster {

/// What the control side has done, readable from any thread.
struct control_counts {
    std::atomic<std::uint64_t> promoted{0};
    std::atomic<std::uint64_t> given_up{0};
    std::atomic<std::uint64_t> proxies{0};
};

/// The control side of a proxy, on a thread of its own: knows the other
/// proxies, tells the traffic side of configuration, servers and what peers
/// saw, and replaces primaries.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
class control {
public:
    using bridge = traffic_bridge<Connector>;
    using time_point = boot_clock::time_point;

    control(asio::any_io_executor executor, control_settings settings, Store& store, Orders& orders, bridge& servers,
            const state_chart& promotion_steps)
        : m_executor{executor}
        , m_settings{std::move(settings)}
        , m_store{store}
        , m_bridge{servers}
        , m_promotion{store,           servers,         orders,
                      promotion_steps, m_settings.name, m_settings.name + "/" + std::to_string(m_settings.incarnation)}
        , m_members{m_settings.name}
        , m_socket{executor}
        , m_rpc{executor} {}

    /// Binds its addresses and begins; `unavailable` when one is taken.
    [[nodiscard]] result<void> start();

    /// Takes the configuration that the store shows; an older one than that at
    /// hand changes nothing, but the store's word proves nothing until it has
    /// caught up.
    void take_stored(routing::configuration config);
    /// Takes the registered servers, from the store.
    void take(const routing::registry& registered);

    /// Whether the store answers this proxy at present.
    void set_store_reachable(std::function<bool()> reachable) { m_store_reachable = std::move(reachable); }

    /// Adds the traffic side to what `dump` tells; called on its thread.
    void add_dump(std::function<Json::Value()> traffic) { m_dump_traffic = std::move(traffic); }

    /// How this proxy keeps up with a table of the store at present.
    [[nodiscard]] watch_pace pace(followed what) const;

    /// The store said that this proxy's copy was current at that time. One that
    /// has returned from an older copy says so of a configuration that others know
    /// to be replaced.
    void note_current(followed what, time_point at) {
        auto& news = m_followed.at(place(what));
        if (what != followed::configuration || news.store_vouches_for(m_config.version)) {
            news.note_current(at);
        }
        tell_proof();
    }

    [[nodiscard]] bool has_configuration() const noexcept { return m_config.version != 0; }

    [[nodiscard]] const control_counts& counts() const noexcept { return m_counts; }
    [[nodiscard]] const peer_traffic& heard_from_peers() const noexcept { return m_peer_traffic; }

    /// The store may have lost this proxy's row, which it writes again.
    void register_again() { asio::co_spawn(m_executor, write_own_row_again(), asio::detached); }

    /// This proxy stops by plan: it replaces no primary any more, and those
    /// that start from now on do not learn of it.
    asio::awaitable<void> prepare_to_leave();

    /// Its connections are closed; the others may use what was its share.
    void farewell();

private:
    /// What was last known of a service's primary.
    struct watch {
        std::string primary;
        time_point leaderless_since{};
        time_point judged_since{};
        primary_verdict verdict{primary_verdict::fine};
        bool replacing{false};
        time_point not_before{};
    };

    /// What a peer says of a primary, and the time from which its ages count.
    struct heard_report {
        const primary_report* report{nullptr};
        time_point at{};
    };
    using reports_by_service = std::unordered_map<std::string_view, std::vector<heard_report>>;

    struct asked {
        time_point sent_at;
    };

    void take(routing::configuration config);
    asio::awaitable<result<Json::Value>> dump();
    [[nodiscard]] static constexpr std::size_t place(followed what) { return static_cast<std::size_t>(what); }
    [[nodiscard]] std::uint64_t version_of(followed what) const {
        return what == followed::configuration ? m_config.version : m_registry.effective().version;
    }
    [[nodiscard]] std::vector<std::string> sharing_the_watch(time_point now) const;
    [[nodiscard]] bool fetches_from_afar(time_point now) const;
    asio::awaitable<void> receive();
    asio::awaitable<void> tick();
    asio::awaitable<void> register_self();
    asio::awaitable<void> write_own_row_again();
    [[nodiscard]] std::string own_row() const;
    asio::awaitable<void> take_proxies(store_rows listed);
    asio::awaitable<void> name_cluster();
    /// Short, since every message carries it; never 0.
    [[nodiscard]] static std::uint64_t cluster_id(std::string_view name) noexcept {
        return stable_hash({name}) % 0xffffffffU + 1;
    }
    [[nodiscard]] result<Json::Value> snapshot_for(known_versions known, rpc::connection& to);
    asio::awaitable<void> catch_up(std::string from, asio::ip::address address);
    asio::awaitable<void> replace(std::string service, std::string old, primary_verdict why);
    void handle(const peer_message& message, const asio::ip::udp::endpoint& from);
    void hear_of_tables(const peer_message& message, time_point counted_from);
    void compare_versions(const peer_message& message, const asio::ip::udp::endpoint& from, time_point now);
    void take_reports(const peer_message& message, const asio::ip::udp::endpoint& from, time_point counted_from);
    void ask_peers();
    static void log_members(event what, const std::vector<std::string>& names, std::string_view more);
    void greet_all();
    [[nodiscard]] std::vector<asio::ip::udp::endpoint> everybody() const;
    [[nodiscard]] std::set<std::string, std::less<>>
    owners_of(const std::set<std::string, std::less<>>& services) const;
    void ask(const peers_to_ask& peers);
    void send(const peer_message& message, std::span<const asio::ip::udp::endpoint> to);
    [[nodiscard]] peer_message message_now(peer_message::kind what) const;
    void look_after_primaries();
    void look_after(const std::string& service, std::span<const routing::backend_server* const> servers, watch& at,
                    std::span<const heard_report> heard);
    /// What peers that are alive say; valid until the next message of one.
    [[nodiscard]] reports_by_service reports_heard() const;
    /// Null for a service that this proxy has not used.
    [[nodiscard]] const service_sight* sight_of(const std::string& service) const;
    [[nodiscard]] primary_verdict verdict_on(const watch& at, const service_sight* seen,
                                             std::span<const heard_report> heard,
                                             std::vector<primary_view>& views) const;
    [[nodiscard]] std::chrono::milliseconds turn_delay(const std::string& service) const;
    [[nodiscard]] bool suspicious() const;
    void share_budget();
    void tell_proof();
    [[nodiscard]] bool lacks_proof(time_point now) const;

    static constexpr std::string_view proxies_table = "proxies";
    /// The row of that table that holds `m_cluster`; no proxy has this name.
    static constexpr std::string_view cluster_key = ".cluster";
    static constexpr std::chrono::milliseconds tick_period{100};
    /// Often enough that a peer's sample is fresh for a read that may be 1.5 s
    /// old, and that two lost datagrams do not make a proxy look dead.
    static constexpr std::chrono::milliseconds heartbeat_period{500};
    static constexpr std::chrono::milliseconds suspicious_period{100};
    /// The first proxy in the order of names acts; the others wait their turn
    /// in case that it can't.
    static constexpr std::chrono::milliseconds turn_step{250};
    static constexpr std::ptrdiff_t longest_turn = 6;
    static constexpr std::chrono::milliseconds retry_pause{300};
    /// No replica stays: a new server has to register first.
    static constexpr std::chrono::milliseconds successor_wait{800};
    /// Another proxy has claimed the promotion, which takes 1.2 s.
    static constexpr std::chrono::milliseconds others_turn{1200};
    /// Nobody leads and nobody was asked to: longer than a promotion takes.
    static constexpr std::chrono::milliseconds leaderless_for{1800};
    /// The feed of the store is given that long before a peer is asked: half a
    /// megabyte takes 0.4 s over the slowest links (10 Mbit/s).
    static constexpr std::chrono::milliseconds feed_lead{500};
    /// By then it has come to this data centre, unless those that fetch it are
    /// cut off.
    static constexpr std::chrono::milliseconds far_lead{1200};
    /// Servers leave with notice, and one that is gone shows by itself.
    static constexpr std::chrono::milliseconds registry_lead{1500};
    /// Until the others are known, the fewest connections are used.
    static constexpr std::chrono::milliseconds unknown_for{1500};
    /// Until an answer of a peer begins, and between two pieces of it.
    static constexpr std::chrono::milliseconds catch_up_limit{500};
    /// Configurations that are being sent at a time. A small VM's link carries a
    /// few in the time of a heartbeat; those that got one pass it on, and the rest
    /// get it from them sooner than from a link that is shared by all.
    static constexpr std::size_t most_uploads = 4;
    /// Pause of a proxy that got no snapshot, spread over as much again.
    static constexpr std::chrono::milliseconds catch_up_pause{60};
    static constexpr std::size_t sampled_peers = 12;
    static constexpr std::chrono::milliseconds rewrite_spread{2000};
    static constexpr int most_rewrites = 5;
    /// A message tells when so many others were last alive: with six exchanges
    /// a second each of 64 proxies is heard of about once a second.
    static constexpr std::size_t passed_on = 6;
    /// Answers to older questions are too old to be of use.
    static constexpr std::size_t remembered_questions = 16;
    /// A report takes about 60 bytes a service.
    static constexpr std::size_t largest_message_bytes = 8192;

    asio::any_io_executor m_executor;
    control_settings m_settings;
    Store& m_store;
    bridge& m_bridge;
    promotion<Store, bridge, Orders> m_promotion;
    membership m_members;
    asio::ip::udp::socket m_socket;
    rpc::server m_rpc;
    routing::configuration m_config;
    registry_keeper m_registry;
    std::map<std::string, watch, std::less<>> m_watched;
    /// What the traffic side last saw of the services that it uses, by name. Far
    /// fewer than all services, and told in every message.
    std::map<std::string, service_sight, std::less<>> m_sights;
    std::map<std::uint64_t, asked> m_questions;
    std::uint64_t m_last_nonce{0};
    /// Tells the proxies of this deployment from those of others; 0 until it
    /// was read from the store.
    std::uint64_t m_cluster{0};
    control_counts m_counts;
    peer_traffic m_peer_traffic;
    std::function<Json::Value()> m_dump_traffic{[] { return Json::Value{}; }};
    /// By `followed`.
    std::array<table_news, 2> m_followed;
    std::function<bool()> m_store_reachable{[] { return true; }};
    /// What the traffic side was last told of the configuration's age.
    time_point m_proof_told{};
    time_point m_started{boot_clock::now()};
    time_point m_last_heartbeat{};
    time_point m_behind_since{};
    bool m_catching_up{false};
    time_point m_catch_up_after{};
    /// Of the configuration at hand, once it was asked for.
    packed_part m_packed_config;
    packed_part m_packed_registry;
    std::size_t m_uploads{0};
    bool m_leaving{false};
    /// Heard of since the last tick.
    std::vector<std::string> m_joined;
    /// The others were read from the store.
    bool m_listed{false};
    std::vector<session::proxy_place> m_places;
    /// Whether these were all that are in the table.
    bool m_places_complete{false};
    std::minstd_rand m_random{std::random_device{}()};
};

} // namespace cornellever::cluster

#include "cornellever/cluster/control.ipp"
#include "cornellever/cluster/control_joining.ipp"
#include "cornellever/cluster/control_peers.ipp"
#include "cornellever/cluster/control_primaries.ipp"
#include "cornellever/cluster/control_tables.ipp"
