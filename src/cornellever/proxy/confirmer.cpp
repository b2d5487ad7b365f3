#include "cornellever/proxy/confirmer.hpp"

#include <algorithm>

#include "cornellever/rpc/fields.hpp"

namespace cornellever::proxy {

namespace {

/// How long one call waits at the replica; a connection that went silent is
/// given up a little later.
constexpr auto ask_wait = std::chrono::milliseconds{300};
constexpr auto ask_deadline = std::chrono::milliseconds{450};
constexpr auto ask_retry = std::chrono::milliseconds{30};

} // namespace

confirmer::confirmer(asio::any_io_executor executor) : m_executor{std::move(executor)} {}

asio::awaitable<result<void>> confirmer::confirm(std::span<const confirming_replica> replicas, write_mark mark,
                                                 std::size_t needed, std::chrono::milliseconds wait) {
    if (needed == 0) {
        co_return result<void>{};
    }
    waiting_write me{mark, needed, replicas.size(), {}, asio::steady_timer{m_executor, wait}};
    for (const auto& replica : replicas) {
        auto& target = m_followers[replica.key];
        if (!target.link || (!target.running && target.link->peer() != replica.address)) {
            target.link = std::make_unique<rpc::channel>(m_executor, replica.address);
        }
        target.writes.insert(&me);
        if (!target.running) {
            target.running = true;
            asio::co_spawn(m_executor, follow(replica.key), asio::detached);
        }
    }
    boost::system::error_code ignored;
    co_await me.timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    for (const auto& replica : replicas) {
        m_followers[replica.key].writes.erase(&me);
    }
    if (me.confirmed.size() >= needed) {
        co_return result<void>{};
    }
    co_return fail(errc::outcome_unknown, "the write at position " + std::to_string(mark.position) + " of term " +
                                              std::to_string(mark.term) + " was not confirmed by " +
                                              std::to_string(needed) + " replica(s): it may be lost in a failover");
}

void confirmer::take_held(follower& from, const std::string& key, write_mark held) {
    for (auto* item : from.writes) {
        if (item->mark.term == held.term && item->mark.position <= held.position) {
            item->confirmed.insert(key);
            if (item->confirmed.size() >= item->needed) {
                item->timer.cancel();
            }
        }
    }
}

void confirmer::take_refusal(follower& from, std::uint64_t term) {
    // The replica keeps a later term: it will never confirm this one.
    std::erase_if(from.writes, [&](auto* item) {
        if (item->mark.term != term) {
            return false;
        }
        if (--item->may_confirm < item->needed) {
            item->timer.cancel();
        }
        return true;
    });
}

asio::awaitable<void> confirmer::follow(std::string key) {
    auto& me = m_followers[key];
    while (!me.writes.empty()) {
        const auto lowest = (*std::ranges::min_element(me.writes, {}, &waiting_write::mark))->mark;
        Json::Value params;
        params["term"] = static_cast<Json::UInt64>(lowest.term);
        params["position"] = static_cast<Json::UInt64>(lowest.position);
        params["wait_ms"] = static_cast<Json::Int64>(ask_wait.count());
        auto answer = co_await me.link->call("await_received", params, ask_deadline);
        if (answer) {
            take_held(me, key, write_mark{lowest.term, rpc::uint_field(*answer, "received")});
            std::erase_if(me.writes, [&](auto* item) { return item->confirmed.contains(key); });
        } else if (answer.error().code == errc::fenced) {
            take_refusal(me, lowest.term);
        } else if (answer.error().code != errc::behind) {
            me.link = std::make_unique<rpc::channel>(m_executor, me.link->peer());
            co_await sleep_for(ask_retry);
        }
    }
    me.running = false;
}

} // namespace cornellever::proxy
