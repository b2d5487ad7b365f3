#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cornellever/core/boot_clock.hpp"
#include "cornellever/session/session_state.hpp"
#include "cornellever/session/statement_engine.hpp"
#include "cornellever/sql/reply.hpp"

namespace cornellever::session {

/// Whether a session can be closed without interrupting work. Used during a
/// planned stop.
struct session_status {
    /// No request is in progress and no transaction is open, so that closing the
    /// connection interrupts nothing.
    bool is_idle{false};
    /// The proxy waits for the caller's next request, outside or inside a
    /// transaction.
    bool awaiting_request{false};
    /// Closes it unless a request has arrived meanwhile.
    std::function<void()> close_if_no_input;
};

/// Where a session's statements are executed: at this proxy, at a proxy that
/// owns the service's connections, or at a proxy that reaches the primary while
/// this one does not.
enum class execution_site { local, connection_owner, detour };

/// State of a session whose statements another proxy executes.
template <typename Relay>
struct session_at_peer {
    /// The session at the peer. Null before the first statement that has to be
    /// executed, and after the connection to the peer was lost.
    std::unique_ptr<Relay> session{};
    std::string peer_name{};
    boot_clock::time_point opened_at{};
    /// Transaction state as reported to the caller.
    sql::transaction_state state{sql::transaction_state::idle};
    /// A BEGIN that was acknowledged to the caller and not yet sent to the peer.
    std::optional<sql::request> deferred_begin{};
    /// The transaction under way has written.
    bool wrote{false};

    [[nodiscard]] bool open() const { return session != nullptr && session->open(); }

    void close() {
        if (session != nullptr) {
            session->close();
            session.reset();
        }
    }
};

/// A session that is being served. The caller's values and prepared statements
/// are kept at this proxy, so that the next operation can be executed anywhere.
template <routing::link_connector Connector>
struct active_session {
    session_state state;
    std::optional<typename statement_engine<Connector>::transaction> open_transaction{};
    session_status status{};
    /// Opened by another proxy on behalf of its caller.
    bool relayed{false};
    execution_site site{execution_site::local};
    session_at_peer<typename Connector::relay> at_peer{};

    /// Whether the caller has no transaction open.
    [[nodiscard]] bool outside_transaction() const {
        return !open_transaction && at_peer.state == sql::transaction_state::idle;
    }
};

} // namespace cornellever::session
