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
    /// The peer's answer; nothing when the connection ended before it, or when
    /// a request that was passed on before was refused.
    { peer.ask(request, until) } -> std::same_as<asio::awaitable<std::optional<sql::reply>>>;
    /// Passes a request on whose answer is known; the next `ask` looks whether
    /// it came so. False when nothing was sent.
    { peer.pass_on(request) } -> std::same_as<bool>;
    { peer.open() } -> std::same_as<bool>;
    {peer.close()};
};

/// Where a session stands after a statement that its owner only takes note of,
/// so that the caller need not wait for it; nothing for one that has to be
/// asked. An opening session brings about eight of these, one after the other,
/// and each waited for the owner's turn of the processor. A statement that runs
/// is sent only once the owner has agreed to all that went before: a read must
/// not run outside the transaction that its caller was told is open.
[[nodiscard]] constexpr std::optional<sql::transaction_state> state_known_ahead(sql::statement_kind kind,
                                                                                sql::transaction_state now) {
    using sql::statement_kind;
    using sql::transaction_state;
    if (now == transaction_state::failed) {
        return std::nullopt;
    }
    switch (kind) {
    case statement_kind::set:
    case statement_kind::prepare:
        return now;
    case statement_kind::begin:
    case statement_kind::begin_read_only:
        return now == transaction_state::idle ? std::optional{transaction_state::open} : std::nullopt;
    case statement_kind::rollback:
        return transaction_state::idle;
    default:
        return std::nullopt;
    }
}

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
