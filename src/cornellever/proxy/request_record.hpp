#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include <jsoncpp/json/value.h>

#include "cornellever/proxy/backend_connections.hpp"

namespace cornellever::proxy {

/// How long request ids are kept.
inline constexpr auto request_id_retention = std::chrono::hours{48};

/// The record of request ids that took effect. It is a table in the database itself, written in the same transaction
/// as the effect, so that both commit, replicate and fail over together: the effect is present exactly if the id is.
class request_record {
public:
    /// The recorded answer of a request.
    struct outcome {
        Json::Value answer;
        /// The end of the primary's log when the record was read.
        term_position log_end;
    };

    /// Looks `request_id` up in the transaction open on `connection`. Errors: those of the call.
    asio::awaitable<result<std::optional<outcome>>> find(const pooled_connection& connection,
                                                         const instance_view& primary, const std::string& request_id,
                                                         std::chrono::milliseconds deadline);

    /// Records `answer` under `request_id` in the open transaction.
    asio::awaitable<result<void>> add(const pooled_connection& connection, const std::string& request_id,
                                      const Json::Value& answer, std::chrono::milliseconds deadline);

    /// Notes that a record was committed on `primary`, so that its table is known to exist.
    void note_committed(const instance_view& primary);

private:
    asio::awaitable<result<void>> ensure_table(const pooled_connection& connection, const instance_view& primary,
                                               std::chrono::milliseconds deadline);

    /// Databases whose table is known to exist, with the term in which it was seen.
    std::set<std::pair<std::string, std::uint64_t>> m_tables;
    std::uint64_t m_added{0};
};

} // namespace cornellever::proxy
