#pragma once

#include <algorithm>
#include <array>
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

#include "cornellever/cluster/control_counts.hpp"
#include "cornellever/cluster/control_settings.hpp"
#include "cornellever/cluster/handover.hpp"
#include "cornellever/cluster/handover_judge.hpp"
#include "cornellever/cluster/handover_watch.hpp"
#include "cornellever/cluster/judged_services.hpp"
#include "cornellever/cluster/membership.hpp"
#include "cornellever/cluster/metadata_store.hpp"
#include "cornellever/cluster/peer_message.hpp"
#include "cornellever/cluster/peer_traffic.hpp"
#include "cornellever/cluster/primary_judge.hpp"
#include "cornellever/cluster/promotion.hpp"
#include "cornellever/cluster/registration.hpp"
#include "cornellever/cluster/registry_cache.hpp"
#include "cornellever/cluster/snapshot.hpp"
#include "cornellever/cluster/store_watch.hpp"
#include "cornellever/cluster/table_freshness.hpp"
#include "cornellever/cluster/traffic_bridge.hpp"
#include "cornellever/core/log.hpp"
#include "cornellever/core/scoped_increment.hpp"
#include "cornellever/core/stable_hash.hpp"
#include "cornellever/rpc/channel.hpp"
#include "cornellever/rpc/fields.hpp"
#include "cornellever/rpc/server.hpp"
#include "cornellever/session/ownership_cache.hpp"

namespace cornellever::cluster {

/// The state charts that the control plane runs.
struct control_charts {
    const state_chart& promotion;
    const state_chart& handover;
};

/// The control plane of a proxy, run on its own thread. It exchanges heartbeats with the other
/// proxies (the peers), keeps the configuration and the server registry up to date, and passes
/// both, and the peers' observations of the primaries, to the traffic thread, which serves the
/// client applications. It also replaces primaries that have failed or are being shut down.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
class control {
public:
    using bridge = traffic_bridge<Connector>;
    using time_point = boot_clock::time_point;

    control(asio::any_io_executor executor, control_settings settings, Store& store, Orders& orders, bridge& servers,
            control_charts charts)
        : m_executor{executor}
        , m_settings{std::move(settings)}
        , m_store{store}
        , m_bridge{servers}
        , m_promotion{store,           servers,
                      orders,          charts.promotion,
                      m_settings.name, m_settings.name + "/" + std::to_string(m_settings.incarnation)}
        , m_handover{m_promotion.actions(), servers, charts.handover}
        , m_members{m_settings.name}
        , m_socket{executor}
        , m_rpc{executor} {
        m_promotion.actions().set_peer_alive([this](std::string_view name) { return seems_alive(name); });
    }

    /// Binds the heartbeat and RPC addresses and starts the background tasks. Error: `unavailable`
    /// if an address cannot be bound.
    [[nodiscard]] result<void> start();

    /// Applies the configuration read from the metadata store. A configuration older than the one
    /// in force is ignored; until the store holds the version in force again, its responses do not
    /// count as confirmation that this version is current.
    void apply_stored(routing::configuration config);
    /// Applies the registered servers read from the store.
    void apply(const routing::registry& registered);

    /// Sets the callback that reports whether the metadata store currently responds to this proxy.
    void set_store_reachable(std::function<bool()> reachable) { m_store_reachable = std::move(reachable); }

    /// Sets the callback that adds the state of the traffic thread to the `dump` reply. The
    /// callback runs on the traffic thread.
    void add_dump(std::function<Json::Value()> traffic) { m_dump_traffic = std::move(traffic); }

    /// Returns how this proxy currently keeps its copy of a table up to date.
    [[nodiscard]] watch_mode watch_mode_of(cached_table what) const;

    /// Records that the store confirmed this proxy's copy of a table as current at time `at`. A
    /// store restored from a backup may confirm a configuration that peers know to be superseded;
    /// such a confirmation is ignored.
    void mark_current(cached_table what, time_point at) {
        auto& freshness = m_freshness.at(index_of(what));
        if (what != cached_table::configuration || freshness.store_confirms(m_config.version)) {
            freshness.mark_current(at);
        }
        publish_confirmation();
    }

    [[nodiscard]] bool has_configuration() const noexcept { return m_config.version != 0; }

    [[nodiscard]] const control_counts& counts() const noexcept { return m_counts; }
    [[nodiscard]] const peer_traffic& received_from_peers() const noexcept { return m_peer_traffic; }

    /// Writes this proxy's row of the proxies table again after the store was restored from an older
    /// copy, which may lack the row, and recent claims of this proxy.
    void on_store_restored() {
        m_promotion.actions().note_store_restored();
        asio::co_spawn(m_executor, rewrite_own_row(), asio::detached);
    }

    /// Starts a planned shutdown: this proxy starts no more promotions, and its row is removed from
    /// the proxies table, so that proxies started later do not discover it.
    asio::awaitable<void> prepare_to_leave();

    /// Tells all peers that this proxy has closed its connections to the backend servers, so that
    /// the peers can open them instead: all proxies together stay within each server's connection
    /// limit.
    void send_farewell();

private:
    /// What this proxy last concluded about a service's primary.
    struct service_state {
        std::string primary;
        /// When this proxy last observed a primary or tried to replace it.
        time_point leaderless_since{};
        time_point judged_since{};
        primary_verdict verdict{primary_verdict::fine};
        bool replacing{false};
        time_point retry_at{};
        handover_watch handover;
    };

    /// A peer's report on a primary, and the time to which the ages in the report refer.
    struct peer_report {
        const primary_report* report{nullptr};
        std::string_view peer;
        time_point ages_as_of{};
    };
    using reports_by_service = std::unordered_map<std::string_view, std::vector<peer_report>>;

    struct sent_question {
        time_point sent_at;
    };

    void apply(routing::configuration config);
    asio::awaitable<result<Json::Value>> dump();
    [[nodiscard]] static constexpr std::size_t index_of(cached_table what) { return static_cast<std::size_t>(what); }
    [[nodiscard]] std::uint64_t version_of(cached_table what) const {
        return what == cached_table::configuration ? m_config.version : m_registry.effective().version;
    }
    [[nodiscard]] std::vector<std::string> watch_candidates(time_point now) const;
    [[nodiscard]] bool fetches_across_data_centers(time_point now) const;
    asio::awaitable<void> receive();
    asio::awaitable<void> tick();
    asio::awaitable<void> register_self();
    asio::awaitable<void> rewrite_own_row();
    [[nodiscard]] std::string own_row() const;
    asio::awaitable<void> load_proxies(store_rows listed);
    asio::awaitable<void> create_cluster_id();
    /// Hashes a deployment's name to an id. The id is short because every message carries it, and
    /// is never 0.
    [[nodiscard]] static std::uint64_t cluster_id(std::string_view name) noexcept {
        return stable_hash({name}) % 0xffffffffU + 1;
    }
    [[nodiscard]] result<Json::Value> snapshot_for(known_versions known, rpc::connection& to);
    asio::awaitable<void> catch_up(std::string from, asio::ip::address address);
    [[nodiscard]] bool replicas_serve_reads(const std::string& service) const;
    void check_handover(const std::string& service, service_state& state, const service_observation& own,
                        std::span<const peer_report> peer_reports);
    asio::awaitable<void> hand_over(std::string service, std::string old);
    asio::awaitable<void> replace(std::string service, std::string old, primary_verdict why);
    [[nodiscard]] static std::chrono::milliseconds retry_delay(const promotion_outcome& ended);
    void handle(const peer_message& message, const asio::ip::udp::endpoint& from);
    void apply_table_ages(const peer_message& message, time_point ages_as_of);
    void compare_versions(const peer_message& message, const asio::ip::udp::endpoint& from, time_point now);
    void forward_reports(const peer_message& message, const asio::ip::udp::endpoint& from, time_point ages_as_of);
    void send_heartbeats();
    static void log_members(event what, const std::vector<std::string>& names, std::string_view suffix);
    void send_greetings();
    [[nodiscard]] std::vector<asio::ip::udp::endpoint> all_peers() const;
    [[nodiscard]] const session::connection_ownership& ownership_of(const std::string& service) {
        return m_ownership.find(service, m_config, m_published_proxies);
    }
    [[nodiscard]] std::set<std::string, std::less<>> owners_of(const std::set<std::string, std::less<>>& services);
    void send_questions(const heartbeat_targets& peers);
    void send(const peer_message& message, std::span<const asio::ip::udp::endpoint> to);
    [[nodiscard]] peer_message build_message(peer_message::kind what) const;
    void check_primaries();
    void update_registered_primary(std::span<const routing::backend_server* const> servers, service_state& state) const;
    void check_primary(const std::string& service, std::span<const routing::backend_server* const> servers,
                       service_state& state, std::span<const peer_report> peer_reports);
    /// Returns the reports of the peers that are alive, by service. The result is valid until the
    /// next message from a peer is handled.
    [[nodiscard]] reports_by_service reports_from_peers() const;
    /// Returns this proxy's own observation of a service's primary, or null if this proxy has not
    /// used the service.
    [[nodiscard]] const service_observation* observation_of(const std::string& service) const;
    [[nodiscard]] primary_verdict verdict_for(const service_state& state, const service_observation* own_observation,
                                              std::span<const peer_report> peer_reports,
                                              std::vector<primary_view>& views) const;
    [[nodiscard]] std::chrono::milliseconds promotion_delay(const std::string& service);
    /// Returns whether a proxy that claimed a promotion may still be running. Proxies that are not
    /// known yet count as running.
    [[nodiscard]] bool seems_alive(std::string_view name) const;
    [[nodiscard]] bool any_primary_suspect() const;
    void publish_proxies();
    void publish_registry();
    void publish_confirmation();
    [[nodiscard]] bool confirmation_overdue(time_point now) const;

    static constexpr std::string_view proxies_table = "proxies";
    /// Key of the row in the proxies table from which `m_cluster` is computed. No proxy has this
    /// name.
    static constexpr std::string_view cluster_key = ".cluster";
    static constexpr std::chrono::milliseconds tick_period{100};
    /// Short enough that a log position received from a peer can still be used for reads that allow
    /// data up to 1.5 s old, and that a proxy does not look dead when two datagrams are lost.
    static constexpr std::chrono::milliseconds heartbeat_period{500};
    static constexpr std::chrono::milliseconds suspect_heartbeat_period{100};
    /// Reports older than two heartbeats, with some time for the network, do not count for a handover.
    static constexpr std::chrono::milliseconds max_report_age{1200};
    /// Proxies try a promotion in the order of their names. Each waits one step longer than the
    /// proxy before it, and acts only if the earlier proxies could not.
    static constexpr std::chrono::milliseconds promotion_delay_step{250};
    static constexpr std::ptrdiff_t max_promotion_delay_steps = 6;
    static constexpr std::chrono::milliseconds retry_pause{300};
    static constexpr std::chrono::milliseconds min_retry_pause{100};
    /// Delay after a promotion attempt that found no suitable replica, to let a new server register.
    static constexpr std::chrono::milliseconds successor_wait{800};
    /// How long after a promotion attempt a service counts as one without a suitable successor: until
    /// the next attempt has ended, with the time for its queries.
    static constexpr std::chrono::milliseconds no_successor_period{1000};
    /// Maximum delay after another proxy claimed the promotion. A promotion takes 1.2 s.
    static constexpr std::chrono::milliseconds other_claim_pause{1200};
    /// How long a service may have neither a registered nor a reachable primary before the primary
    /// counts as lost. Longer than a promotion takes.
    static constexpr std::chrono::milliseconds leaderless_timeout{1800};
    /// How long to wait for the store's change feed to deliver a new configuration before it is
    /// requested from a peer (another proxy). The transfer of half a megabyte takes 0.4 s over the
    /// slowest links (10 Mbit/s).
    static constexpr std::chrono::milliseconds feed_head_start{500};
    /// How long a proxy that does not poll the store waits before it fetches a new configuration or
    /// registry from another data centre. The two proxies per data centre that do this for the
    /// others do not wait. Unless these two are cut off, they have the new version by then, and the
    /// proxy can get it from them.
    static constexpr std::chrono::milliseconds remote_fetch_head_start{1200};
    /// How long to wait for the store's change feed to deliver a new server registry before it is
    /// requested from a peer. This wait can be longer than `feed_head_start`, because servers
    /// announce their shutdown and a failed server is detected without the registry.
    static constexpr std::chrono::milliseconds registry_head_start{1500};
    /// How many proxies, for each one that polls a table, query the store first if the peers do not
    /// keep their copies current. Enough that one of a small part of the cluster is among them.
    static constexpr std::size_t overdue_readers_per_poller = 8;
    /// How long the proxies that query the store first because they are behind have before twice as
    /// many do. An answer with the configuration takes less.
    static constexpr std::chrono::milliseconds behind_step{500};
    /// The traffic thread gets no list of proxies until the list is complete or this much time has
    /// passed. Without a list, the traffic thread opens only the smallest number of connections.
    static constexpr std::chrono::milliseconds peer_list_timeout{1500};
    /// Timeout for the start of a peer's reply to a snapshot request, and between two parts of the
    /// reply.
    static constexpr std::chrono::milliseconds catch_up_timeout{500};
    /// Maximum number of peers to which this proxy sends the configuration concurrently. The link of
    /// a small VM can transfer only a few copies of the configuration within a heartbeat period. The
    /// peers that received a copy pass it on, so that the remaining ones get it sooner than if all
    /// shared this proxy's link.
    static constexpr std::size_t max_uploads = 4;
    /// Shortest pause after a failed snapshot request. The actual pause is random and at most twice
    /// as long.
    static constexpr std::chrono::milliseconds catch_up_pause{60};
    static constexpr std::size_t max_service_peers_asked = 12;
    static constexpr std::chrono::milliseconds initial_registration_pause{400};
    /// With at most this pause, 3,500 proxies that register together make four times as many
    /// attempts a second as the store accepts (250).
    static constexpr std::chrono::milliseconds max_registration_pause{6400};
    static constexpr std::chrono::milliseconds rewrite_spread{2000};
    static constexpr int max_rewrites = 5;
    /// Number of live proxies listed in a gossip message. At six gossip exchanges per proxy and
    /// second, each of 64 proxies is mentioned about once a second.
    static constexpr std::size_t gossiped_peers = 6;
    /// Maximum number of recent heartbeat questions that are kept so that replies can be matched to
    /// them. Replies to older questions arrive too late to be of use.
    static constexpr std::size_t max_open_questions = 16;
    /// Maximum size of a message. A primary report takes about 60 bytes per service.
    static constexpr std::size_t max_message_bytes = 8192;

    asio::any_io_executor m_executor;
    control_settings m_settings;
    Store& m_store;
    bridge& m_bridge;
    promotion<Store, bridge, Orders> m_promotion;
    handover<Store, bridge, Orders> m_handover;
    membership m_members;
    asio::ip::udp::socket m_socket;
    rpc::server m_rpc;
    routing::configuration m_config;
    registry_cache m_registry;
    std::map<std::string, service_state, std::less<>> m_services;
    /// This proxy's latest observations of the services that it uses, by service name. A proxy uses
    /// only a small part of all services, so these observations can be sent in every message.
    std::map<std::string, service_observation, std::less<>> m_observations;
    /// The services whose owners this proxy asks for their load, although it does not use the
    /// service's servers itself.
    std::set<std::string, std::less<>> m_relayed_under_load;
    std::map<std::uint64_t, sent_question> m_questions;
    std::uint64_t m_last_nonce{0};
    /// Id of this deployment, by which messages of other deployments are recognised and ignored. 0
    /// until the id has been read from the store.
    std::uint64_t m_cluster{0};
    control_counts m_counts;
    peer_traffic m_peer_traffic;
    std::function<Json::Value()> m_dump_traffic{[] { return Json::Value{}; }};
    /// Indexed by `cached_table`.
    std::array<table_freshness, 2> m_freshness;
    std::function<bool()> m_store_reachable{[] { return true; }};
    /// Time for which the configuration was confirmed as current when this was last passed to the
    /// traffic thread.
    time_point m_published_confirmation{};
    time_point m_started{boot_clock::now()};
    time_point m_last_heartbeat{};
    time_point m_behind_since{};
    bool m_catching_up{false};
    time_point m_catch_up_after{};
    /// The configuration in force, compressed when a peer first requests it.
    packed_part m_packed_config;
    packed_part m_packed_registry;
    std::size_t m_uploads{0};
    bool m_leaving{false};
    /// Proxies first seen since the last tick.
    std::vector<std::string> m_joined;
    /// Whether the list of proxies has been read from the store.
    bool m_peers_loaded{false};
    std::vector<session::proxy_node> m_published_proxies;
    session::ownership_cache m_ownership;
    /// Whether `m_published_proxies` included every proxy in the table when it was published.
    bool m_published_complete{false};
    std::minstd_rand m_random{std::random_device{}()};
};

} // namespace cornellever::cluster

#include "cornellever/cluster/control.ipp"
#include "cornellever/cluster/control_handover.ipp"
#include "cornellever/cluster/control_joining.ipp"
#include "cornellever/cluster/control_peers.ipp"
#include "cornellever/cluster/control_primaries.ipp"
#include "cornellever/cluster/control_tables.ipp"
