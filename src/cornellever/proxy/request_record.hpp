#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include <jsoncpp/json/value.h>

#include "cornellever/proxy/backend_connections.hpp"

namespace cornellever::proxy {

/// How long the ids of requests are kept and so how long a repeated request is recognised.
inline constexpr auto request_id_retention = std::chrono::hours{48};

/// The record of the ids of requests that took effect. The record is a table in the caller's database, written in the
/// same transaction as the request's own changes. Both therefore commit, replicate and fail over together: the changes
/// are present exactly if the id is.
class request_record {
public:
    /// The recorded response to a request.
    struct outcome {
        Json::Value answer;
        /// The end of the primary's log when the record was read.
        term_position log_end;
    };

    /// Looks `request_id` up in the transaction that is open on `connection`; returns an empty optional if it is not
    /// recorded. Creates the table if needed. Errors: those of the calls; `internal` if the recorded response is
    /// unreadable.
    asio::awaitable<result<std::optional<outcome>>> find(const pooled_connection& connection,
                                                         const instance_view& primary, const std::string& request_id,
                                                         std::chrono::milliseconds deadline);

    /// Records `answer` under `request_id` in the transaction that is open on `connection`.
    asio::awaitable<result<void>> add(const pooled_connection& connection, const std::string& request_id,
                                      const Json::Value& answer, std::chrono::milliseconds deadline);

    /// Notes that the table of recorded ids is known to exist on `primary`, because a record was committed or found
    /// there.
    void note_committed(const instance_view& primary);

private:
    asio::awaitable<result<void>> ensure_table(const pooled_connection& connection, const instance_view& primary,
                                               std::chrono::milliseconds deadline);

    /// Databases whose table of recorded ids is known to exist, each with the term in which the table was seen.
    std::set<std::pair<std::string, std::uint64_t>> m_tables;
    std::uint64_t m_added{0};
};

} // namespace cornellever::proxy
