#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include <jsoncpp/json/value.h>

#include "cornellever/proxy/backend_connections.hpp"

namespace cornellever::proxy {

/// How long request ids are remembered.
inline constexpr auto remember_requests = std::chrono::hours{48};

/// The record of request ids that took effect, kept in a table of the
/// database itself and written in the same transaction as the effect: the
/// two commit, replicate and fail over together, so whoever finds the id
/// knows the effect is there, and whoever does not knows it is not.
class request_record {
public:
    /// What is recorded under a request id.
    struct outcome {
        Json::Value answer;
        /// Where the primary's log stood when the record was read.
        write_mark seen_at;
    };

    /// Looks `request_id` up inside the transaction open on `connection`.
    /// Errors: those of the call.
    asio::awaitable<result<std::optional<outcome>>> find(const pooled_connection& connection,
                                                         const instance_view& primary, const std::string& request_id,
                                                         std::chrono::milliseconds deadline);

    /// Records `answer` under `request_id` inside the open transaction.
    asio::awaitable<result<void>> add(const pooled_connection& connection, const std::string& request_id,
                                      const Json::Value& answer, std::chrono::milliseconds deadline);

    /// Notes that a record was committed on `primary`, so its table exists.
    void note_committed(const instance_view& primary);

private:
    asio::awaitable<result<void>> ensure_table(const pooled_connection& connection, const instance_view& primary,
                                               std::chrono::milliseconds deadline);

    /// Databases whose table is known to exist, with the term it was seen in.
    std::set<std::pair<std::string, std::uint64_t>> m_tables;
    std::uint64_t m_added{0};
};

} // namespace cornellever::proxy
