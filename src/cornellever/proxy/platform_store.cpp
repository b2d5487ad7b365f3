#include "cornellever/proxy/platform_store.hpp"

#include "cornellever/rpc/fields.hpp"

namespace cornellever::proxy {

platform_store::platform_store(asio::any_io_executor executor, tcp::endpoint platform,
                               std::chrono::milliseconds deadline)
    : m_executor{std::move(executor)}
    , m_platform{std::move(platform)}
    , m_deadline{deadline} {}

asio::awaitable<result<Json::Value>> platform_store::call(std::string_view method, Json::Value params) {
    // Open a new connection for each call: failovers are rare, and a connection kept since the last one could have been
    // broken unnoticed.
    rpc::channel channel{m_executor, m_platform};
    co_return co_await channel.call(method, params, m_deadline);
}

asio::awaitable<result<versioned_record>> platform_store::read(std::string_view database) {
    Json::Value params;
    params["key"] = group_record_key(database);
    auto row = co_await call("table.get", params);
    if (!row && row.error().code == errc::not_found) {
        co_return versioned_record{};
    }
    if (!row) {
        co_return std::unexpected{row.error()};
    }
    auto record = group_record_from_json(row->isObject() ? (*row)["value"] : Json::Value{});
    if (!record) {
        co_return std::unexpected{record.error()};
    }
    co_return versioned_record{std::move(*record), rpc::uint_field(*row, "version")};
}

asio::awaitable<result<std::uint64_t>> platform_store::write(std::string_view database, const group_record& record,
                                                             std::uint64_t expected) {
    Json::Value params;
    params["key"] = group_record_key(database);
    params["value"] = to_json(record);
    params["expected_version"] = static_cast<Json::UInt64>(expected);
    auto written = co_await call("table.put", params);
    if (!written) {
        co_return std::unexpected{written.error()};
    }
    co_return rpc::uint_field(*written, "version");
}

} // namespace cornellever::proxy
