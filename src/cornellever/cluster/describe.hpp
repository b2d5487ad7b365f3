#pragma once

#include <string>

#include "cornellever/cluster/counted_store.hpp"
#include "cornellever/cluster/peer_traffic.hpp"
#include "cornellever/metrics/exposition.hpp"

namespace cornellever::cluster {

/// Exposes the counters of metadata store calls, by table and purpose.
template <metadata_store Store>
void expose(const counted_store<Store>& store, metrics::exposition& into) {
    for (const auto& item : store.counts()) {
        into.counter("cornellever_store_questions_total", "Calls to the metadata store, by table and purpose.",
                     item.calls, {{"table", item.table}, {"purpose", std::string{to_string(item.why)}}});
    }
}

/// Exposes the counters of messages received from other proxies.
inline void expose(const peer_traffic& traffic, metrics::exposition& into) {
    for (const auto what : peer_traffic::kinds) {
        for (const bool same : {true, false}) {
            const metrics::labels of{{"kind", std::string{to_string(what)}}, {"from", same ? "same" : "other"}};
            into.counter("cornellever_peer_messages_total", "Messages of other proxies, by data centre.",
                         traffic.messages(what, same), of);
            into.counter("cornellever_peer_bytes_total", "Bytes of these messages.", traffic.bytes(what, same), of);
        }
    }
}

/// Returns the same counters as fields of a log line, for deployments where only logs are
/// available.
template <metadata_store Store>
[[nodiscard]] std::string traffic_log_fields(const counted_store<Store>& store, const peer_traffic& traffic) {
    std::string out;
    for (const auto& item : store.counts()) {
        out += "store." + item.table + "." + std::string{to_string(item.why)} + "=" + std::to_string(item.calls) + " ";
    }
    for (const auto what : peer_traffic::kinds) {
        for (const bool same : {true, false}) {
            const auto name = "peers." + std::string{to_string(what)} + (same ? ".same" : ".other");
            out += name + "=" + std::to_string(traffic.messages(what, same)) + " ";
            out += name + "_bytes=" + std::to_string(traffic.bytes(what, same)) + " ";
        }
    }
    if (!out.empty()) {
        out.pop_back();
    }
    return out;
}

} // namespace cornellever::cluster
