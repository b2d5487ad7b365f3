#pragma once

#include <cstdint>
#include <string_view>

namespace cornellever {

enum class severity { debug, info, warning, error };

/// All events that are logged. The numbers are stable and identify the events in
/// docs/EVENTS.md. A new event is added at the end of the block of related
/// events.
enum class event : std::uint16_t {
    // Processes and RPC.
    process_started = 1001,
    process_stopping = 1002,
    process_stopped = 1003,
    listen_failed = 1004,
    rpc_bad_request = 1010,
    // Configuration, registry and metadata store.
    config_loaded = 1101,
    config_refused = 1102,
    config_fetch_failed = 1103,
    settings_reloaded = 1104,
    registry_loaded = 1105,
    registration_refused = 1106,
    /// A change in a table of the metadata store could not be processed.
    table_not_taken = 1107,
    store_lost = 1110,
    store_regained = 1111,
    /// The metadata store was restored from an older copy.
    store_returned = 1112,
    /// The metadata store holds an older configuration than the proxy uses.
    stored_config_older = 1113,
    // Backend servers, primaries, failover and cluster membership.
    instance_up = 1201,
    instance_down = 1202,
    failover_started = 1203,
    failover_done = 1204,
    failover_given_up = 1205,
    primary_found = 1206,
    primary_lost = 1207,
    /// The proxy's assessment of a primary's health has changed.
    primary_judged = 1208,
    promotion_step = 1209,
    member_joined = 1210,
    member_lost = 1211,
    /// A server was restarted under the same id.
    server_reborn = 1212,
    /// Periodic report on messages exchanged with the store and peers.
    control_exchanged = 1213,
    /// The proxy's judgement whether a primary is to be handed over has changed or takes effect.
    handover_judged = 1214,
    handover_done = 1215,
    handover_given_up = 1216,
    /// A proxy read the claim on a service before it writes its own.
    claim_checked = 1217,
    /// A server was removed from the registry and may have held commits that no other server is known to have.
    server_removed = 1218,
    // Connection pools, sessions, requests and logging.
    pool_exhausted = 1301,
    connection_broken = 1302,
    /// An open transaction was dropped because its caller (a client application)
    /// had disconnected or was idle for too long.
    transaction_abandoned = 1303,
    /// A replica did not serve a read; another server is tried.
    replica_fallback = 1304,
    /// All idle connections to a server were closed because the connections may
    /// be broken.
    connections_suspect = 1305,
    /// A server did not confirm a write, and the outcome of the write could not
    /// be determined.
    write_unconfirmed = 1306,
    request_repeated = 1307,
    connect_failed = 1308,
    session_refused = 1309,
    request_refused = 1310,
    statement_retried = 1311,
    outcome_unknown = 1312,
    transaction_failed = 1313,
    request_served = 1314,
    /// A server has not replied within its usual time.
    answer_overdue = 1315,
    session_relayed = 1316,
    request_forbidden = 1317,
    limit_refused = 1318,
    /// The outcome of an unconfirmed write was determined.
    write_settled = 1319,
    lines_dropped = 1320,
    // Role `backend`.
    backend_write = 1401,
    backend_shipped = 1402,
    backend_refused = 1404,
    // Role `platform`.
    platform_fault_set = 1501,
    platform_row_written = 1502,
    platform_snapshot_failed = 1503,
};

/// Name and severity of an event.
struct event_info {
    event id;
    std::string_view name;
    severity level;
};

[[nodiscard]] const event_info& describe(event id) noexcept;

} // namespace cornellever
