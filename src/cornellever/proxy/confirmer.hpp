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

/// Waits until a quorum of replicas holds a write in the term in which it was made.
///
/// This guards against a primary that is cut off from its replicas and keeps accepting writes while another instance
/// is promoted. Its writes are in no other log, and a replica that accepted a later term refuses to confirm them, so
/// they are never acknowledged. Every acknowledged write is held by a majority, from which the next primary is chosen.
///
/// One connection per replica polls for the lowest pending position while writes are pending; each answer confirms
/// every write up to the position that the replica holds. Used from the traffic thread only.
class confirmer {
public:
    explicit confirmer(asio::any_io_executor executor);

    /// Waits until `needed` of `replicas` hold `entry`, at most `wait`. Errors: `outcome_unknown`, because the write
    /// is in the primary's log and may or may not survive a failover.
    asio::awaitable<result<void>> confirm(std::span<const confirming_replica> replicas, term_position entry,
                                          std::size_t needed, std::chrono::milliseconds wait);

private:
    struct pending_write {
        term_position entry;
        std::size_t needed;
        /// Replicas that have not refused permanently.
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
