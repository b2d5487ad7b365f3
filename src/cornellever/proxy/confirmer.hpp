#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>

#include "cornellever/core/asio.hpp"
#include "cornellever/core/error.hpp"
#include "cornellever/proxy/term_position.hpp"
#include "cornellever/rpc/channel.hpp"

namespace cornellever::proxy {

/// A replica that can confirm writes.
struct confirming_replica {
    std::string key;
    tcp::endpoint address;
};

/// Waits until enough replicas hold a write in the term in which it was made.
///
/// This protects against a primary that is cut off from its replicas and keeps accepting writes while another instance
/// is promoted. Such writes are in no other instance's log, and a replica that has accepted a later term refuses to
/// confirm them, so the proxy never acknowledges them. Every acknowledged write is held by a majority of the instances,
/// and the next primary is chosen from a majority, which therefore includes an instance that holds the write.
///
/// While writes to a replica are pending, one connection to that replica polls for the lowest pending log position;
/// each response confirms every write up to the position that the replica holds. Used from the traffic thread only (the
/// thread that serves callers).
class confirmer {
public:
    explicit confirmer(asio::any_io_executor executor);

    /// Waits at most `wait` until `needed` of `replicas` hold `entry`. Errors: `outcome_unknown`, because the write is
    /// in the primary's log and may or may not survive a failover.
    asio::awaitable<result<void>> confirm(std::span<const confirming_replica> replicas, term_position entry,
                                          std::size_t needed, std::chrono::milliseconds wait);

private:
    struct pending_write {
        term_position entry;
        std::size_t needed;
        /// Number of replicas that can still confirm the write because they have not accepted a later term.
        std::size_t candidates;
        std::set<std::string> confirmed;
        asio::steady_timer timer;
    };

    struct replica_poll {
        std::unique_ptr<rpc::channel> channel;
        std::set<pending_write*> writes;
        bool running{false};
    };

    asio::awaitable<void> poll_replica(std::string key);
    static void record_progress(replica_poll& from, const std::string& key, term_position received);
    static void record_refusal(replica_poll& from, std::uint64_t term);

    asio::any_io_executor m_executor;
    std::map<std::string, replica_poll> m_replicas;
};

} // namespace cornellever::proxy
