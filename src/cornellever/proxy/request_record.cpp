#include "cornellever/proxy/request_record.hpp"

#include "cornellever/rpc/envelope.hpp"

namespace cornellever::proxy {

namespace {

constexpr auto create_table = "CREATE TABLE IF NOT EXISTS cornellever_requests ("
                              "request_id TEXT PRIMARY KEY, answer TEXT NOT NULL, recorded_ms INTEGER NOT NULL)";
constexpr auto select_answer = "SELECT answer FROM cornellever_requests WHERE request_id = ?";
constexpr auto insert_answer = "INSERT INTO cornellever_requests (request_id, answer, recorded_ms) VALUES (?, ?, ?)";
constexpr auto delete_old = "DELETE FROM cornellever_requests WHERE recorded_ms < ?";

/// Number of added records after which expired records are deleted.
constexpr std::uint64_t delete_every = 512;

Json::Value statement(const char* sql) {
    Json::Value out;
    out["sql"] = sql;
    out["params"] = Json::arrayValue;
    return out;
}

std::int64_t now_ms() {
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

} // namespace

asio::awaitable<result<void>> request_record::ensure_table(const pooled_connection& connection,
                                                           const instance_view& primary,
                                                           std::chrono::milliseconds deadline) {
    const auto here = std::pair{database_key(primary.service, primary.database), primary.term};
    if (m_tables.contains(here)) {
        co_return result<void>{};
    }
    auto created = co_await backend_connections::call_on(connection, "execute", statement(create_table), deadline);
    if (!created) {
        co_return std::unexpected{created.error()};
    }
    co_return result<void>{};
}

asio::awaitable<result<std::optional<request_record::outcome>>>
request_record::find(const pooled_connection& connection, const instance_view& primary, const std::string& request_id,
                     std::chrono::milliseconds deadline) {
    auto ready = co_await ensure_table(connection, primary, deadline);
    if (!ready) {
        co_return std::unexpected{ready.error()};
    }
    auto query = statement(select_answer);
    query["params"].append(request_id);
    auto found = co_await backend_connections::call_on(connection, "execute", query, deadline);
    if (!found) {
        co_return std::unexpected{found.error()};
    }
    if ((*found)["rows"].empty()) {
        co_return std::optional<outcome>{};
    }
    note_committed(primary);
    auto answer = rpc::parse_json((*found)["rows"][0][0].asString());
    if (!answer) {
        co_return fail(errc::internal, "the recorded answer of request " + request_id + " is unreadable");
    }
    co_return std::optional{
        outcome{std::move(*answer), term_position{(*found)["term"].asUInt64(), (*found)["position"].asUInt64()}}};
}

void request_record::note_committed(const instance_view& primary) {
    // The table is known to exist in the current term only: if the creation of the table was not yet replicated to a
    // majority, a failover may have lost the table.
    m_tables.emplace(database_key(primary.service, primary.database), primary.term);
}

asio::awaitable<result<void>> request_record::add(const pooled_connection& connection, const std::string& request_id,
                                                  const Json::Value& answer, std::chrono::milliseconds deadline) {
    auto insert = statement(insert_answer);
    insert["params"].append(request_id);
    insert["params"].append(rpc::to_text(answer));
    insert["params"].append(static_cast<Json::Int64>(now_ms()));
    auto added = co_await backend_connections::call_on(connection, "execute", insert, deadline);
    if (added && ++m_added % delete_every == 0) {
        auto old = statement(delete_old);
        const auto retention_ms = std::chrono::duration_cast<std::chrono::milliseconds>(request_id_retention).count();
        old["params"].append(static_cast<Json::Int64>(now_ms() - retention_ms));
        added = co_await backend_connections::call_on(connection, "execute", old, deadline);
    }
    if (!added) {
        co_return std::unexpected{added.error()};
    }
    co_return result<void>{};
}

} // namespace cornellever::proxy
