#pragma once

#include <cstdint>
#include <string_view>

namespace cornellever {

/// Severity of a logged event.
enum class severity { debug, info, warning, error };

/// Every event a process can log. The number is stable and is the key into
/// the catalogue in docs/EVENTS.md; add new events at the end of a block.
enum class event : std::uint16_t {
    process_started = 1001,
    process_stopping = 1002,
    process_stopped = 1003,
    listen_failed = 1004,
    rpc_bad_request = 1010,
    config_loaded = 1101,
    config_refused = 1102,
    config_fetch_failed = 1103,
    settings_reloaded = 1104,
    registry_loaded = 1105,
    registration_refused = 1106,
    table_not_taken = 1107,
    store_lost = 1110,
    store_regained = 1111,
    store_returned = 1112,
    stored_config_older = 1113,
    instance_up = 1201,
    instance_down = 1202,
    failover_started = 1203,
    failover_done = 1204,
    failover_given_up = 1205,
    primary_found = 1206,
    primary_lost = 1207,
    primary_judged = 1208,
    promotion_step = 1209,
    member_joined = 1210,
    member_lost = 1211,
    server_reborn = 1212,
    control_exchanged = 1213,
    pool_exhausted = 1301,
    connection_broken = 1302,
    transaction_abandoned = 1303,
    replica_fallback = 1304,
    connections_suspect = 1305,
    write_unconfirmed = 1306,
    request_repeated = 1307,
    connect_failed = 1308,
    session_refused = 1309,
    request_refused = 1310,
    statement_retried = 1311,
    outcome_unknown = 1312,
    transaction_failed = 1313,
    request_served = 1314,
    answer_overdue = 1315,
    session_relayed = 1316,
    request_forbidden = 1317,
    limit_refused = 1318,
    write_settled = 1319,
    lines_dropped = 1320,
    backend_write = 1401,
    backend_shipped = 1402,
    backend_refused = 1404,
    platform_fault_set = 1501,
    platform_row_written = 1502,
    platform_snapshot_failed = 1503,
};

/// Catalogue entry: the event's dotted name and severity.
struct event_info {
    event id;
    std::string_view name;
    severity level;
};

/// The catalogue entry of `id`.
[[nodiscard]] const event_info& describe(event id) noexcept;

} // namespace cornellever
