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

/// Waits until replicas hold a write in the term it was made in.
///
/// The failure it guards against: a primary cut off from its replicas goes
/// on taking writes while another is promoted. Its writes are in no other
/// log, and a replica that promised a later term refuses to confirm, so they
/// are never acknowledged; every acknowledged write is held by a majority,
/// from which the next primary is chosen.
///
/// One connection per replica, open while writes wait, asks for the lowest
/// position waited for; each answer confirms every write up to the position
/// the replica holds. Used from the traffic thread only.
class confirmer {
public:
    explicit confirmer(asio::any_io_executor executor);

    /// Waits until `needed` of `replicas` hold `mark`, at most `wait`.
    /// Errors: `outcome_unknown`, as the write stands on the primary and may
    /// or may not outlive it.
    asio::awaitable<result<void>> confirm(std::span<const confirming_replica> replicas, write_mark mark,
                                          std::size_t needed, std::chrono::milliseconds wait);

private:
    struct waiting_write {
        write_mark mark;
        std::size_t needed;
        /// Replicas that have not refused for good.
        std::size_t may_confirm;
        std::set<std::string> confirmed;
        asio::steady_timer timer;
    };

    struct follower {
        std::unique_ptr<rpc::channel> link;
        std::set<waiting_write*> writes;
        bool running{false};
    };

    asio::awaitable<void> follow(std::string key);
    static void take_held(follower& from, const std::string& key, write_mark held);
    static void take_refusal(follower& from, std::uint64_t term);

    asio::any_io_executor m_executor;
    std::map<std::string, follower> m_followers;
};

} // namespace cornellever::proxy
