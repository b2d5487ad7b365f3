#include "cornellever/proxy/backend_group.hpp"

#include "cornellever/core/daemon.hpp"
#include "cornellever/rpc/channel.hpp"
#include "cornellever/rpc/fields.hpp"

namespace cornellever::proxy {

/// State shared by the concurrent calls of one `fence`. Each call owns this state jointly with `fence`, since a slow
/// call may end after `fence` has returned.
struct backend_group::fence_round {
    explicit fence_round(const asio::any_io_executor& executor) : wake{executor} {}

    std::vector<fenced_member> fenced;
    bool superseded{false};
    std::size_t outstanding{0};
    std::size_t quorum{0};
    asio::steady_timer wake;
};

backend_group::backend_group(asio::any_io_executor executor, group_deadlines deadlines)
    : m_executor{std::move(executor)}
    , m_deadlines{deadlines} {}

asio::awaitable<result<void>> backend_group::quiesce(const group_member& member, std::uint64_t term) {
    rpc::channel channel{m_executor, member.address};
    Json::Value params;
    params["term"] = static_cast<Json::UInt64>(term);
    params["wait_ms"] = static_cast<Json::Int64>(m_deadlines.quiesce.count());
    auto answer = co_await channel.call("quiesce", params, 2 * m_deadlines.quiesce);
    if (!answer) {
        co_return std::unexpected{answer.error()};
    }
    co_return result<void>{};
}

asio::awaitable<void> backend_group::fence_one(group_member member, std::uint64_t term,
                                               std::shared_ptr<fence_round> round) {
    rpc::channel channel{m_executor, member.address};
    Json::Value params;
    params["term"] = static_cast<Json::UInt64>(term);
    auto answer = co_await channel.call("fence", params, m_deadlines.fence);
    --round->outstanding;
    if (answer) {
        const term_position end{rpc::uint_field(*answer, "received_term"), rpc::uint_field(*answer, "received")};
        round->fenced.push_back(fenced_member{std::move(member), end});
    } else if (answer.error().code == errc::fenced) {
        round->superseded = true;
    }
    if (round->outstanding == 0 || round->superseded) {
        round->wake.cancel();
    } else if (round->fenced.size() >= round->quorum) {
        round->wake.expires_after(m_deadlines.straggler);
    }
}

asio::awaitable<result<std::vector<fenced_member>>> backend_group::fence(std::span<const group_member> members,
                                                                         std::uint64_t term, std::size_t quorum) {
    auto round = std::make_shared<fence_round>(m_executor);
    round->quorum = quorum;
    round->outstanding = members.size();
    round->wake.expires_after(2 * m_deadlines.fence);
    for (const auto& member : members) {
        asio::co_spawn(m_executor, fence_one(member, term, round), asio::detached);
    }
    // Changing the timer's expiry cancels the current wait with `operation_aborted`. Wait again until the timer
    // expires, no call is outstanding, or a member has refused the term.
    boost::system::error_code ec = asio::error::operation_aborted;
    while (ec == asio::error::operation_aborted && round->outstanding > 0 && !round->superseded) {
        co_await round->wake.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    if (round->superseded) {
        co_return fail(errc::fenced, "an instance keeps a term above " + std::to_string(term));
    }
    co_return round->fenced;
}

asio::awaitable<result<void>> backend_group::promote(const group_member& member, std::uint64_t term,
                                                     std::span<const group_member> members) {
    Json::Value params;
    params["term"] = static_cast<Json::UInt64>(term);
    params["replicas"] = Json::arrayValue;
    for (const auto& other : members) {
        if (other.key != member.key) {
            params["replicas"].append(to_string(other.address));
        }
    }
    rpc::channel channel{m_executor, member.address};
    auto answer = co_await channel.call("promote", params, m_deadlines.promote);
    if (!answer) {
        co_return std::unexpected{answer.error()};
    }
    co_return result<void>{};
}

} // namespace cornellever::proxy
