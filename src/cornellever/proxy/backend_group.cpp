#include "cornellever/proxy/backend_group.hpp"

#include "cornellever/core/daemon.hpp"
#include "cornellever/rpc/channel.hpp"
#include "cornellever/rpc/fields.hpp"

namespace cornellever::proxy {

/// What the parallel calls of one `fence` gathered. Shared with them, since
/// a straggler may end after the caller has gone on.
struct backend_group::fencing {
    explicit fencing(const asio::any_io_executor& executor) : wake{executor} {}

    std::vector<fenced_member> fenced;
    bool superseded{false};
    std::size_t outstanding{0};
    std::size_t enough{0};
    asio::steady_timer wake;
};

backend_group::backend_group(asio::any_io_executor executor, group_deadlines deadlines)
    : m_executor{std::move(executor)}
    , m_deadlines{deadlines} {}

asio::awaitable<result<void>> backend_group::quiesce(const group_member& member, std::uint64_t term) {
    rpc::channel link{m_executor, member.address};
    Json::Value params;
    params["term"] = static_cast<Json::UInt64>(term);
    params["wait_ms"] = static_cast<Json::Int64>(m_deadlines.quiesce.count());
    auto answer = co_await link.call("quiesce", params, 2 * m_deadlines.quiesce);
    if (!answer) {
        co_return std::unexpected{answer.error()};
    }
    co_return result<void>{};
}

asio::awaitable<void> backend_group::fence_one(group_member member, std::uint64_t term, std::shared_ptr<fencing> all) {
    rpc::channel link{m_executor, member.address};
    Json::Value params;
    params["term"] = static_cast<Json::UInt64>(term);
    auto answer = co_await link.call("fence", params, m_deadlines.fence);
    --all->outstanding;
    if (answer) {
        const write_mark end{rpc::uint_field(*answer, "received_term"), rpc::uint_field(*answer, "received")};
        all->fenced.push_back(fenced_member{std::move(member), end});
    } else if (answer.error().code == errc::fenced) {
        all->superseded = true;
    }
    if (all->outstanding == 0 || all->superseded) {
        all->wake.cancel();
    } else if (all->fenced.size() >= all->enough) {
        all->wake.expires_after(m_deadlines.straggler);
    }
}

asio::awaitable<result<std::vector<fenced_member>>> backend_group::fence(std::span<const group_member> members,
                                                                         std::uint64_t term, std::size_t enough) {
    auto all = std::make_shared<fencing>(m_executor);
    all->enough = enough;
    all->outstanding = members.size();
    all->wake.expires_after(2 * m_deadlines.fence);
    for (const auto& member : members) {
        asio::co_spawn(m_executor, fence_one(member, term, all), asio::detached);
    }
    // Each change of the timer ends one wait: go on until it expired by
    // itself or nothing is outstanding.
    boost::system::error_code ec = asio::error::operation_aborted;
    while (ec == asio::error::operation_aborted && all->outstanding > 0 && !all->superseded) {
        co_await all->wake.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    if (all->superseded) {
        co_return fail(errc::fenced, "an instance keeps a term above " + std::to_string(term));
    }
    co_return all->fenced;
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
    rpc::channel link{m_executor, member.address};
    auto answer = co_await link.call("promote", params, m_deadlines.promote);
    if (!answer) {
        co_return std::unexpected{answer.error()};
    }
    co_return result<void>{};
}

} // namespace cornellever::proxy
