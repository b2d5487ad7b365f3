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

/// Where an open session stands, for a planned stop.
struct session_status {
    /// The caller waits for nothing and has no transaction open: closing the
    /// connection now cuts nothing.
    bool is_idle{false};
    /// The caller is waited for, resting or inside a transaction.
    bool awaiting_request{false};
    /// Closes it unless a request has arrived meanwhile.
    std::function<void()> close_if_no_input;
};

/// Who runs a session's statements: this proxy, one that owns the scarce
/// connections, or one that reaches the primary while this one does not.
enum class execution_site { local, connection_owner, detour };

/// A session's part that another proxy runs.
template <typename Relay>
struct session_at_peer {
    /// The session there; none before the first statement that runs, or after
    /// the other proxy went away.
    std::unique_ptr<Relay> session{};
    std::string peer_name{};
    boot_clock::time_point opened_at{};
    /// Where the caller's session stands.
    sql::transaction_state state{sql::transaction_state::idle};
    /// A BEGIN that the caller was answered and the peer has not been sent.
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

/// One session being served. What its caller has set and prepared is kept here
/// whoever runs its statements, so that the next operation may run elsewhere.
template <routing::link_connector Connector>
struct active_session {
    session_state state;
    std::optional<typename statement_engine<Connector>::transaction> open_transaction{};
    session_status status{};
    /// Of another proxy's caller.
    bool relayed{false};
    execution_site site{execution_site::local};
    session_at_peer<typename Connector::relay> at_peer{};

    /// Whether the caller has no transaction open.
    [[nodiscard]] bool outside_transaction() const {
        return !open_transaction && at_peer.state == sql::transaction_state::idle;
    }
};

} // namespace cornellever::session
