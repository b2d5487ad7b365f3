#include "cornellever/proxy/confirmer.hpp"

#include <algorithm>

#include "cornellever/rpc/fields.hpp"

namespace cornellever::proxy {

namespace {

/// How long a replica may delay its response until it holds the requested log position. The deadline of the call is a
/// little longer, so that a missing response means a dead connection.
constexpr auto poll_wait = std::chrono::milliseconds{300};
constexpr auto poll_deadline = std::chrono::milliseconds{450};
constexpr auto poll_retry_pause = std::chrono::milliseconds{30};

} // namespace

confirmer::confirmer(asio::any_io_executor executor) : m_executor{std::move(executor)} {}

asio::awaitable<result<void>> confirmer::confirm(std::span<const confirming_replica> replicas, term_position entry,
                                                 std::size_t needed, std::chrono::milliseconds wait) {
    if (needed == 0) {
        co_return result<void>{};
    }
    pending_write write{entry, needed, replicas.size(), {}, asio::steady_timer{m_executor, wait}};
    for (const auto& replica : replicas) {
        auto& target = m_replicas[replica.key];
        if (!target.channel || (!target.running && target.channel->peer() != replica.address)) {
            target.channel = std::make_unique<rpc::channel>(m_executor, replica.address);
        }
        target.writes.insert(&write);
        if (!target.running) {
            target.running = true;
            asio::co_spawn(m_executor, poll_replica(replica.key), asio::detached);
        }
    }
    boost::system::error_code ignored;
    co_await write.timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    for (const auto& replica : replicas) {
        m_replicas[replica.key].writes.erase(&write);
    }
    if (write.confirmed.size() >= needed) {
        co_return result<void>{};
    }
    co_return fail(errc::outcome_unknown, "the write at position " + std::to_string(entry.position) + " of term " +
                                              std::to_string(entry.term) + " was not confirmed by " +
                                              std::to_string(needed) + " replica(s): it may be lost in a failover");
}

void confirmer::record_progress(replica_poll& from, const std::string& key, term_position received) {
    for (auto* item : from.writes) {
        if (item->entry.term == received.term && item->entry.position <= received.position) {
            item->confirmed.insert(key);
            if (item->confirmed.size() >= item->needed) {
                item->timer.cancel();
            }
        }
    }
}

void confirmer::record_refusal(replica_poll& from, std::uint64_t term) {
    // The replica has accepted a later term and will never confirm writes of this term.
    std::erase_if(from.writes, [&](auto* item) {
        if (item->entry.term != term) {
            return false;
        }
        if (--item->candidates < item->needed) {
            item->timer.cancel();
        }
        return true;
    });
}

asio::awaitable<void> confirmer::poll_replica(std::string key) {
    auto& replica = m_replicas[key];
    while (!replica.writes.empty()) {
        const auto lowest = (*std::ranges::min_element(replica.writes, {}, &pending_write::entry))->entry;
        Json::Value params;
        params["term"] = static_cast<Json::UInt64>(lowest.term);
        params["position"] = static_cast<Json::UInt64>(lowest.position);
        params["wait_ms"] = static_cast<Json::Int64>(poll_wait.count());
        auto answer = co_await replica.channel->call("await_received", params, poll_deadline);
        if (answer) {
            record_progress(replica, key, term_position{lowest.term, rpc::uint_field(*answer, "received")});
            std::erase_if(replica.writes, [&](auto* item) { return item->confirmed.contains(key); });
        } else if (answer.error().code == errc::fenced) {
            record_refusal(replica, lowest.term);
        } else if (answer.error().code != errc::behind) {
            replica.channel = std::make_unique<rpc::channel>(m_executor, replica.channel->peer());
            co_await sleep_for(poll_retry_pause);
        }
    }
    replica.running = false;
}

} // namespace cornellever::proxy
