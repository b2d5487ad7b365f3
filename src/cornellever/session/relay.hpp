#pragma once

#include <algorithm>
#include <concepts>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cornellever/core/asio.hpp"
#include "cornellever/core/boot_clock.hpp"
#include "cornellever/session/answers.hpp"
#include "cornellever/session/ownership.hpp"
#include "cornellever/sql/statement.hpp"

namespace cornellever::session {

/// A session at another proxy, opened for a caller of this one.
template <typename T>
concept relayed_session = requires(T peer, const sql::request& request, boot_clock::time_point until) {
    /// The peer's answer; nothing when the connection ended before it.
    { peer.ask(request, until) } -> std::same_as<asio::awaitable<std::optional<sql::reply>>>;
    { peer.open() } -> std::same_as<bool>;
    {peer.close()};
};

/// What to answer when the owner's connection ended before its answer. The
/// transaction that was open there is rolled back; a commit or a write outside
/// a transaction may have run.
[[nodiscard]] inline sql::reply unanswered_by_owner(const sql::request& request, sql::transaction_state state,
                                                    bool may_write) {
    if (request.what.kind == sql::statement_kind::rollback) {
        return acknowledged(sql::transaction_state::idle);
    }
    if (request.what.kind == sql::statement_kind::commit && state == sql::transaction_state::failed) {
        return refused(sql::refusal::aborted, "the transaction failed", sql::transaction_state::idle);
    }
    if (request.what.kind == sql::statement_kind::commit || (state == sql::transaction_state::idle && may_write)) {
        return refused(sql::refusal::outcome_unknown, "the proxy that owns the connections is gone",
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
[[nodiscard]] std::vector<proxy_place> relay_order(const ownership& shared, std::string_view data_center,
                                                   std::uint64_t session);

} // namespace cornellever::session
