#pragma once

#include <chrono>
#include <span>
#include <vector>

#include "cornellever/core/asio.hpp"
#include "cornellever/proxy/failover.hpp"

namespace cornellever::proxy {

/// Deadlines of the calls to backend servers during a failover.
struct group_deadlines {
    std::chrono::milliseconds fence{300};
    /// How much longer to wait for the responses of the remaining members once a majority is fenced.
    std::chrono::milliseconds straggler{20};
    std::chrono::milliseconds promote{1000};
    std::chrono::milliseconds quiesce{1000};
};

/// Implements `group_client`, the failover's calls to the instances of a database, over RPC.
class backend_group {
public:
    explicit backend_group(asio::any_io_executor executor, group_deadlines deadlines = {});

    /// See `group_client`.
    asio::awaitable<result<void>> quiesce(const group_member& member, std::uint64_t term);

    /// See `group_client`.
    asio::awaitable<result<std::vector<fenced_member>>> fence(std::span<const group_member> members, std::uint64_t term,
                                                              std::size_t quorum);

    /// See `group_client`.
    asio::awaitable<result<void>> promote(const group_member& member, std::uint64_t term,
                                          std::span<const group_member> members);

private:
    struct fence_round;

    asio::awaitable<void> fence_one(group_member member, std::uint64_t term, std::shared_ptr<fence_round> round);

    asio::any_io_executor m_executor;
    group_deadlines m_deadlines;
};

} // namespace cornellever::proxy
