#pragma once

#include <algorithm>
#include <concepts>
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

/// A session at another proxy that this proxy opened on behalf of its caller.
template <typename T>
concept relayed_session = requires(T peer, const sql::request& request, boot_clock::time_point until) {
    /// Sends a request and returns the peer's reply. The error is `not_sent` also
    /// if the peer refused the session or a request that was pipelined before.
    { peer.run_request(request, until) } -> std::same_as<asio::awaitable<routing::link_reply>>;
    /// Sends a request whose reply the caller already has, without waiting. The
    /// next `run_request` checks that the peer accepted it. False if nothing was
    /// sent.
    { peer.pipeline(request) } -> std::same_as<bool>;
    { peer.open() } -> std::same_as<bool>;
    {peer.close()};
};

/// Request id of replayed statements. Peers accept only the callers' protocol,
/// in which every statement has an id.
inline constexpr std::string_view replay_request_id = "replay";

/// The statements that give a new session the values and prepared statements of
/// `from`.
[[nodiscard]] std::vector<sql::statement> replay_statements(const session_state& from);

/// The reply to a request whose peer disconnected before it replied. The peer
/// rolls back a transaction that was open there. The outcome is unknown for a
/// commit, or a write outside a transaction, if `may_have_changed`: it was sent
/// and may have taken effect. `state` is the transaction state before it.
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

/// The owners in the order in which a session tries them: those in the same data
/// centre first, each group rotated by `session` to spread the load.
[[nodiscard]] std::vector<proxy_node> relay_order(const connection_ownership& ownership, std::string_view data_center,
                                                  std::uint64_t session);

} // namespace cornellever::session
