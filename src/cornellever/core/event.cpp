#include "cornellever/core/event.hpp"

#include <array>

namespace cornellever {

namespace {

constexpr std::array catalogue{
    event_info{event::process_started, "process.started", severity::info},
    event_info{event::process_stopping, "process.stopping", severity::info},
    event_info{event::process_stopped, "process.stopped", severity::info},
    event_info{event::listen_failed, "process.listen_failed", severity::error},
    event_info{event::rpc_bad_request, "rpc.bad_request", severity::warning},
    event_info{event::config_loaded, "config.loaded", severity::info},
    event_info{event::config_refused, "config.refused", severity::warning},
    event_info{event::config_fetch_failed, "config.fetch_failed", severity::warning},
    event_info{event::settings_reloaded, "settings.reloaded", severity::info},
    event_info{event::registry_loaded, "registry.loaded", severity::info},
    event_info{event::registration_refused, "registry.row_refused", severity::warning},
    event_info{event::table_not_taken, "store.table_not_taken", severity::error},
    event_info{event::store_lost, "store.lost", severity::warning},
    event_info{event::store_returned, "store.returned", severity::warning},
    event_info{event::stored_config_older, "store.config_older", severity::warning},
    event_info{event::store_regained, "store.regained", severity::info},
    event_info{event::instance_up, "instance.up", severity::info},
    event_info{event::instance_down, "instance.down", severity::warning},
    event_info{event::failover_started, "failover.started", severity::warning},
    event_info{event::failover_done, "failover.done", severity::warning},
    event_info{event::failover_given_up, "failover.given_up", severity::warning},
    event_info{event::primary_found, "primary.found", severity::info},
    event_info{event::primary_lost, "primary.lost", severity::warning},
    event_info{event::primary_judged, "primary.judged", severity::warning},
    event_info{event::promotion_step, "promotion.step", severity::info},
    event_info{event::member_joined, "member.joined", severity::info},
    event_info{event::member_lost, "member.lost", severity::warning},
    event_info{event::server_reborn, "server.reborn", severity::warning},
    event_info{event::control_exchanged, "control.exchanged", severity::info},
    event_info{event::handover_judged, "handover.judged", severity::warning},
    event_info{event::handover_done, "handover.done", severity::warning},
    event_info{event::handover_given_up, "handover.given_up", severity::warning},
    event_info{event::claim_checked, "promotion.claim_checked", severity::info},
    event_info{event::server_removed, "server.removed", severity::info},
    event_info{event::pool_exhausted, "pool.exhausted", severity::warning},
    event_info{event::connection_broken, "pool.connection_broken", severity::warning},
    event_info{event::transaction_abandoned, "transaction.abandoned", severity::warning},
    event_info{event::replica_fallback, "route.replica_fallback", severity::debug},
    event_info{event::connections_suspect, "pool.connections_suspect", severity::warning},
    event_info{event::write_unconfirmed, "write.unconfirmed", severity::warning},
    event_info{event::request_repeated, "request.repeated", severity::info},
    event_info{event::connect_failed, "pool.connect_failed", severity::warning},
    event_info{event::session_refused, "session.refused", severity::info},
    event_info{event::request_refused, "request.refused", severity::info},
    event_info{event::statement_retried, "request.retried", severity::info},
    event_info{event::outcome_unknown, "request.outcome_unknown", severity::warning},
    event_info{event::transaction_failed, "transaction.failed", severity::info},
    event_info{event::request_served, "request.served", severity::info},
    event_info{event::answer_overdue, "pool.answer_overdue", severity::info},
    event_info{event::session_relayed, "session.relayed", severity::info},
    event_info{event::request_forbidden, "request.forbidden", severity::info},
    event_info{event::limit_refused, "limit.refused", severity::info},
    event_info{event::write_settled, "write.settled", severity::info},
    event_info{event::lines_dropped, "log.lines_dropped", severity::warning},
    event_info{event::backend_write, "backend.write", severity::debug},
    event_info{event::backend_shipped, "backend.shipped", severity::debug},
    event_info{event::backend_refused, "backend.refused", severity::info},
    event_info{event::platform_fault_set, "platform.fault_set", severity::warning},
    event_info{event::platform_row_written, "platform.row_written", severity::debug},
    event_info{event::platform_snapshot_failed, "platform.snapshot_failed", severity::error},
};

constexpr event_info unknown{event::process_started, "unknown", severity::error};

} // namespace

const event_info& describe(event id) noexcept {
    for (const auto& info : catalogue) {
        if (info.id == id) {
            return info;
        }
    }
    return unknown;
}

} // namespace cornellever
