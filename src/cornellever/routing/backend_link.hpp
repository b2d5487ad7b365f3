#pragma once

#include <concepts>
#include <expected>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cornellever/core/asio.hpp"
#include "cornellever/core/boot_clock.hpp"
#include "cornellever/routing/model.hpp"
#include "cornellever/sql/reply.hpp"
#include "cornellever/sql/server_status.hpp"
#include "cornellever/sql/statement.hpp"

namespace cornellever::routing {

/// How an exchange on a connection ended without a reply.
enum class link_failure {
    /// The connection was already broken, so nothing reached the server.
    not_sent,
    /// The connection broke after the statements were written, or a reply was incomplete or unexpected.
    broken,
    /// No reply arrived before the deadline, and none may ever arrive on this connection.
    silent,
};

/// Why a connection could not be opened.
enum class connect_failure { refused, silent, wrong_server, too_many_connections, failed };

/// A reply, or why there is none.
using link_reply = std::expected<sql::reply, link_failure>;

/// A connection to a backend server. The statements of a batch are pipelined and answered in order. Only one exchange
/// may be in progress at a time. After a failure the connection is unusable.
template <typename T>
concept backend_link = requires(T link, std::vector<sql::command> batch, std::size_t reply_index,
                                boot_clock::time_point until) {
    /// Sends a batch and waits for the reply to the statement at index `reply_index` of the batch.
    { link.exchange(batch, reply_index, until) } -> std::same_as<asio::awaitable<link_reply>>;
    /// Sends a batch whose replies are read later by `await_pending`. Returns false if the connection was already
    /// broken.
    { link.post(batch) } -> std::same_as<bool>;
    /// Reads all pending replies and returns the last of them.
    { link.await_pending(until) } -> std::same_as<asio::awaitable<link_reply>>;
    { link.usable() } -> std::same_as<bool>;
    {link.close()};
};

/// Opens connections to backend servers.
template <typename T>
concept link_connector = requires(T connector, const backend_server& server, const std::string& account,
                                  boot_clock::time_point until) {
    typename T::link;
    requires backend_link<typename T::link>;
    /// Opens a connection on behalf of `account`. The proxy itself opens connections with an empty account.
    {
        connector.open(server, account, until)
        } -> std::same_as<asio::awaitable<std::expected<std::unique_ptr<typename T::link>, connect_failure>>>;
    /// Whether a request can be sent together with the log position that the server must hold.
    { T::fits(sql::request{}, sql::log_position{}) } -> std::same_as<bool>;
    /// Decodes the reply to `statement_kind::status`. Returns nothing if the reply is an error.
    { T::status_of(sql::reply{}) } -> std::same_as<std::optional<sql::server_status>>;
};

[[nodiscard]] constexpr std::string_view to_string(link_failure why) noexcept {
    switch (why) {
    case link_failure::not_sent:
        return "not_sent";
    case link_failure::broken:
        return "broken";
    case link_failure::silent:
        return "silent";
    }
    return "unknown";
}

[[nodiscard]] constexpr std::string_view to_string(connect_failure why) noexcept {
    switch (why) {
    case connect_failure::refused:
        return "refused";
    case connect_failure::silent:
        return "silent";
    case connect_failure::wrong_server:
        return "wrong_server";
    case connect_failure::too_many_connections:
        return "too_many_connections";
    case connect_failure::failed:
        return "failed";
    }
    return "unknown";
}

} // namespace cornellever::routing
