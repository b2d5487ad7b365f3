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

/// Tells whether a session can be closed without interrupting a request or a transaction. Used while the proxy drains
/// (a planned stop), and for relayed sessions whose primary this proxy no longer reaches.
struct session_status {
    /// True if no request is in progress and no transaction is open.
    bool is_idle{false};
    /// True while the proxy waits for the next request of the caller (the connected client application), outside or
    /// inside a transaction.
    bool awaiting_request{false};
    /// Closes the caller's connection unless a request of the caller has already arrived.
    std::function<void()> close_if_no_input;
};

/// The proxy that executes a session's statements: `local` is this proxy, `connection_owner` is a proxy that holds
/// connections to the service's servers, and `detour` is a proxy that reaches the primary while this proxy does not.
enum class execution_site { local, connection_owner, detour };

/// State of a session whose statements are executed by another proxy (the peer).
template <typename Relay>
struct session_at_peer {
    /// The session that this proxy opened at the peer. Null until the peer has to execute a statement, and again after
    /// the connection to the peer was lost.
    std::unique_ptr<Relay> session{};
    std::string peer_name{};
    /// The service that this proxy routes the current operation to. The peer may have another configuration.
    std::string service{};
    boot_clock::time_point opened_at{};
    /// The owner that is tried first when the session is opened at a peer again; empty for the usual order.
    std::string preferred_owner{};
    /// Transaction state as reported to the caller.
    sql::transaction_state state{sql::transaction_state::idle};
    /// A BEGIN that this proxy has acknowledged to the caller but not yet sent to the peer.
    std::optional<sql::request> deferred_begin{};
    /// True if the current transaction contains a write.
    bool wrote{false};

    [[nodiscard]] bool open() const { return session != nullptr && session->open(); }

    void close() {
        if (session != nullptr) {
            session->close();
            session.reset();
        }
    }
};

/// A session of a connected caller. This proxy keeps the session's values (set with SET) and prepared statements, so
/// that any proxy can execute the next operation.
template <routing::link_connector Connector>
struct active_session {
    session_state state;
    std::optional<typename statement_engine<Connector>::transaction> open_transaction{};
    session_status status{};
    /// True if another proxy opened this session on behalf of one of its callers.
    bool relayed{false};
    execution_site site{execution_site::local};
    session_at_peer<typename Connector::relay> at_peer{};

    /// Whether the caller has no transaction open.
    [[nodiscard]] bool outside_transaction() const {
        return !open_transaction && at_peer.state == sql::transaction_state::idle;
    }
};

} // namespace cornellever::session
