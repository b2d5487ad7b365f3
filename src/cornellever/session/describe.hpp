#pragma once

#include <jsoncpp/json/value.h>

#include "cornellever/metrics/exposition.hpp"
#include "cornellever/session/traffic.hpp"

namespace cornellever::session {

/// Returns the state of the data plane (sessions, accounts, connection pools) as JSON, for state dumps.
template <routing::link_connector Connector>
[[nodiscard]] Json::Value describe(traffic<Connector>& host) {
    const auto now = boot_clock::now();
    Json::Value out;
    out["config_version"] = static_cast<Json::UInt64>(host.config().version);
    out["registry_version"] = static_cast<Json::UInt64>(host.servers().version);
    out["sessions"] = static_cast<Json::UInt64>(host.sessions());
    out["configuration_proof_ms"] = host.authorizer().lease().ever_confirmed()
                                        ? static_cast<Json::Int64>(to_ms(host.authorizer().lease().age(now)))
                                        : Json::Int64{-1};
    for (const auto& [name, item] : host.authorizer().accounts().all()) {
        auto& account = out["accounts"][name];
        account["priority"] = item.priority;
        if (item.limit) {
            account["per_second"] = item.limit->per_second;
            account["burst"] = item.limit->burst;
        }
    }
    for (const auto& [digest, name] : host.authorizer().accounts().keys()) {
        out["accounts"][name]["keys"].append(digest.fingerprint());
    }
    out["served"] = host.counters().statement_latency.describe();
    out["waited_for_connection"] = host.counters().connection_wait.describe();
    for (const auto& [name, backends] : host.pools()) {
        auto& pool = out["services"][name];
        pool["primary"] = backends->primary();
        pool["primary_confirmed_ms"] =
            static_cast<Json::Int64>(to_ms(now - backends->observation().leadership_confirmed_at));
        pool["waiting"] = static_cast<Json::UInt64>(backends->waiting());
        pool["owner"] = backends->is_owner();
        for (const auto& [priority, count] : backends->waiting_by_priority()) {
            pool["waiting_by_priority"][std::to_string(priority)] = static_cast<Json::UInt64>(count);
        }
        if (const auto refused = host.counters().refused_by_service.find(name);
            refused != host.counters().refused_by_service.end()) {
            for (const auto& [priority, count] : refused->second) {
                pool["refused_by_priority"][std::to_string(priority)] = static_cast<Json::UInt64>(count);
            }
        }
        if (const auto* newest = backends->floor().newest()) {
            pool["sample"] = sql::to_string(newest->position);
            pool["sample_ms"] = static_cast<Json::Int64>(to_ms(now - newest->asked_at));
        }
        for (const auto& item : backends->usage_by_account(now)) {
            auto& account = pool["accounts"][item.account];
            account["slot_ms"] = item.used.count();
            account["over_share"] = item.over_share;
        }
        for (const auto& [id, entry] : backends->entries()) {
            auto& server = pool["servers"][id];
            server["data_center"] = entry->server.data_center;
            for (const auto& item : entry->open_connections) {
                if (!item->account.empty()) {
                    auto& held = server["connections_of"][item->account];
                    held = held.asUInt64() + 1;
                }
            }
            server["slots"] = static_cast<Json::UInt64>(entry->server.slots);
            server["connections"] = static_cast<Json::UInt64>(entry->open_connections.size());
            server["idle"] = static_cast<Json::UInt64>(entry->idle());
            server["in_flight"] = static_cast<Json::UInt64>(entry->in_flight);
            server["typical_ms"] = entry->statement_time.value(now);
            server["draining"] = entry->server.draining;
            server["unreachable"] = entry->unreachable();
            server["heard_ms"] = static_cast<Json::Int64>(to_ms(now - entry->last_contact_at));
        }
    }
    return out;
}

/// Adds the data plane's counters, gauges and latencies to `into`.
template <routing::link_connector Connector>
void expose(traffic<Connector>& host, metrics::exposition& into) {
    const auto now = boot_clock::now();
    const auto& counted = host.counters();
    into.counter("cornellever_sessions_total", "Sessions opened.", counted.sessions_opened);
    into.gauge("cornellever_sessions_open", "Sessions open now.", static_cast<double>(host.sessions()));
    into.counter("cornellever_statements_served_total", "Statements answered with success.", counted.statements_served);
    into.counter("cornellever_statements_retried_total", "Statements sent to a server once more.",
                 counted.statements_retried);
    into.counter("cornellever_reads_total", "Reads outside transactions, by the role of the server.",
                 counted.reads_on_replicas, {{"role", "replica"}});
    into.counter("cornellever_reads_total", "", counted.reads_on_primary, {{"role", "primary"}});
    into.counter("cornellever_transactions_total", "Transactions opened by callers.", counted.transactions_opened);
    into.counter("cornellever_transactions_undone_total", "Transactions rolled back.",
                 counted.transactions_rolled_back);
    into.counter("cornellever_limit_refusals_total", "Operations refused for their account's limit, by cause.",
                 counted.over_limit_refusals, {{"cause", "used_up"}});
    into.counter("cornellever_limit_refusals_total", "", counted.unknown_limit_refusals, {{"cause", "no_coordinator"}});
    into.gauge("cornellever_configuration_proof_age_milliseconds",
               "Since the configuration was last known to be the newest; -1 when never.",
               host.authorizer().lease().ever_confirmed()
                   ? static_cast<double>(to_ms(host.authorizer().lease().age(now)))
                   : -1.0);
    for (std::size_t i = 0; i < traffic_counters::refusal_kinds; ++i) {
        into.counter("cornellever_refused_total", i == 0 ? "Statements answered with an error, by cause." : "",
                     counted.refused.at(i), {{"cause", std::string{sql::to_string(static_cast<sql::refusal>(i))}}});
    }
    into.summary("cornellever_served_microseconds", "From a statement's arrival to its answer.",
                 counted.statement_latency);
    into.summary("cornellever_connection_wait_microseconds", "Waiting for a connection to a server.",
                 counted.connection_wait);
    into.gauge("cornellever_config_version", "Version of the configuration in force.",
               static_cast<double>(host.config().version));
    for (const auto& [service, refused] : counted.refused_by_service) {
        for (const auto& [priority, count] : refused) {
            into.counter("cornellever_refused_by_priority_total",
                         "Requests refused for load, by service and priority of the database.", count,
                         {{"service", service}, {"priority", std::to_string(priority)}});
        }
    }
    for (const auto& [name, backends] : host.pools()) {
        for (const auto& [priority, count] : backends->waiting_by_priority()) {
            into.gauge("cornellever_waiting_by_priority", "Statements waiting, by priority of their database.",
                       static_cast<double>(count), {{"service", name}, {"priority", std::to_string(priority)}});
        }
        const auto* newest = backends->floor().newest();
        into.gauge("cornellever_waiting", "Statements waiting for a connection.",
                   static_cast<double>(backends->waiting()), {{"service", name}});
        into.gauge("cornellever_sample_age_milliseconds", "Age of the newest freshness sample; -1 without one.",
                   newest == nullptr ? -1.0 : static_cast<double>(to_ms(now - newest->asked_at)), {{"service", name}});
        for (const auto& [id, entry] : backends->entries()) {
            const metrics::labels of{{"service", name}, {"server", id}};
            into.gauge("cornellever_connections", "Connections to a server.",
                       static_cast<double>(entry->open_connections.size()), of);
            into.gauge("cornellever_connections_idle", "Those not in use.", static_cast<double>(entry->idle()), of);
            into.gauge("cornellever_server_typical_milliseconds", "Moving average of a statement's time at a server.",
                       entry->statement_time.value(now), of);
            into.gauge("cornellever_server_primary", "1 for the server taken for the primary.",
                       id == backends->primary() ? 1.0 : 0.0, of);
        }
    }
}

} // namespace cornellever::session
