#pragma once

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cornellever/core/asio.hpp"
#include "cornellever/core/boot_clock.hpp"
#include "cornellever/routing/backend_link.hpp"
#include "cornellever/session/connection_ownership.hpp"
#include "cornellever/session/replies.hpp"
#include "cornellever/session/session_state.hpp"
#include "cornellever/sql/statement.hpp"

namespace cornellever::session {

/// A session that this proxy opened at another proxy (the peer) on behalf of one of its callers (connected client
/// applications).
template <typename T>
concept relayed_session = requires(T peer, const sql::request& request, boot_clock::time_point until) {
    /// Sends a request and returns the peer's reply. The error is `not_sent` also if the peer refused the session or an
    /// earlier pipelined request.
    { peer.run_request(request, until) } -> std::same_as<asio::awaitable<routing::link_reply>>;
    /// Sends a request that this proxy has already answered, and does not wait for the peer's reply. The next
    /// `run_request` checks that the peer accepted the request. Returns false if nothing was sent, which is the case
    /// while `max_pending` requests have no reply.
    { peer.pipeline(request) } -> std::same_as<bool>;
    { T::max_pending } -> std::convertible_to<std::size_t>;
    { peer.open() } -> std::same_as<bool>;
    {peer.close()};
};

/// Request id of the statements that restore a session's state at a peer. Peers accept only the protocol for callers,
/// in which every statement has an id. With an id of one character, no statement is longer than the caller's.
inline constexpr std::string_view replay_request_id = "r";

/// Returns the statements that give a new session the values and prepared statements of `from`.
[[nodiscard]] std::vector<sql::statement> replay_statements(const session_state& from);

/// Returns the reply to a request whose peer disconnected before replying. The peer rolls back a transaction that was
/// open in the session. The outcome of a commit, or of a write outside a transaction, is unknown if `may_have_changed`
/// is true, which means that the request was sent and may have taken effect. `state` is the session's transaction state
/// before the request.
[[nodiscard]] inline sql::reply reply_after_peer_loss(const sql::request& request, sql::transaction_state state,
                                                      bool may_have_changed) {
    const bool commit = request.what.kind == sql::statement_kind::commit;
    if (may_have_changed && (commit || state == sql::transaction_state::idle)) {
        return refused(sql::refusal::outcome_unknown, "the proxy that owns the connections is gone",
                       sql::transaction_state::idle);
    }
    if (commit) {
        return refused(sql::refusal::aborted, "the proxy that owns the connections is gone",
                       sql::transaction_state::idle);
    }
    if (state == sql::transaction_state::idle) {
        return refused_for_now("the proxy that owns the connections is gone", std::chrono::milliseconds{50});
    }
    return refused(sql::refusal::aborted, "the proxy that owns the connections is gone",
                   sql::transaction_state::failed);
}

/// Returns the connection owners in the order in which a session tries them: first the owners in `data_center`, then
/// the others. Each group is rotated by `session` to spread the load.
[[nodiscard]] std::vector<proxy_node> relay_order(const connection_ownership& ownership, std::string_view data_center,
                                                  std::uint64_t session);

} // namespace cornellever::session
