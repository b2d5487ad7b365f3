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

/// A session at another proxy, opened for a caller of this one.
template <typename T>
concept relayed_session = requires(T peer, const sql::request& request, boot_clock::time_point until) {
    /// The peer's answer. `not_sent` also where the peer took no session, or
    /// refused a request that was passed on before.
    { peer.run_request(request, until) } -> std::same_as<asio::awaitable<routing::link_reply>>;
    /// Passes a request on whose answer is known; the next `run_request` looks whether
    /// it came so. False when nothing was sent.
    { peer.pipeline(request) } -> std::same_as<bool>;
    { peer.open() } -> std::same_as<bool>;
    {peer.close()};
};

/// The id of the proxy's own statements to another proxy, which takes callers'
/// statements only and needs one.
inline constexpr std::string_view replay_request_id = "replay";

/// What brings a new session to the values and prepared statements of this one.
[[nodiscard]] std::vector<sql::statement> replay_statements(const session_state& from);

/// What to answer when the owner's connection ended before its answer. The
/// transaction that was open there is rolled back; a commit or a write outside
/// a transaction that was sent may have changed something.
[[nodiscard]] inline sql::reply reply_after_owner_loss(const sql::request& request, sql::transaction_state state,
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

/// The owners in the order in which a session tries them: those of the same
/// data centre first, sessions spread over them by number.
[[nodiscard]] std::vector<proxy_node> relay_order(const connection_ownership& ownership, std::string_view data_center,
                                                  std::uint64_t session);

} // namespace cornellever::session
