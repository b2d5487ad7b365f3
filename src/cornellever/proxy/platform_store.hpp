#pragma once

#include <chrono>
#include <memory>

#include "cornellever/core/asio.hpp"
#include "cornellever/proxy/failover.hpp"
#include "cornellever/proxy/group_record.hpp"
#include "cornellever/rpc/channel.hpp"

namespace cornellever::proxy {

/// Implements `record_store`, which reads and writes the records of failovers, by RPC on the table of the platform, the
/// external service that keeps the configuration and the list of VMs.
class platform_store {
public:
    platform_store(asio::any_io_executor executor, tcp::endpoint platform, std::chrono::milliseconds deadline);

    /// See `record_store`. Errors: `unavailable`, `outcome_unknown`.
    asio::awaitable<result<versioned_record>> read(std::string_view database);

    /// See `record_store`. Errors: those of `read`, and `conflict`.
    asio::awaitable<result<std::uint64_t>> write(std::string_view database, const group_record& record,
                                                 std::uint64_t expected);

private:
    asio::awaitable<result<Json::Value>> call(std::string_view method, Json::Value params);

    asio::any_io_executor m_executor;
    tcp::endpoint m_platform;
    std::chrono::milliseconds m_deadline;
};

} // namespace cornellever::proxy
