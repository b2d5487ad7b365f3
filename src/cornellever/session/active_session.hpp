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
    bool resting{false};
    /// The caller is waited for, resting or inside a transaction.
    bool waited_for{false};
    /// Closes it unless a request has arrived meanwhile.
    std::function<void()> close_if_no_input;
};

/// Who runs a session's statements: this proxy, one that owns the scarce
/// connections, or one that reaches the primary while this one does not.
enum class served_by { itself, owner, way_round };

/// A session's part that another proxy runs.
template <typename Relay>
struct relayed_part {
    /// The session there; none before the first statement that runs, or after
    /// the other proxy went away.
    std::unique_ptr<Relay> peer{};
    std::string name{};
    boot_clock::time_point opened_at{};
    /// Where the caller's session stands.
    sql::transaction_state state{sql::transaction_state::idle};
    /// A BEGIN that the caller was answered and the peer has not been sent.
    std::optional<sql::request> begun{};
    /// The transaction under way has written.
    bool wrote{false};

    [[nodiscard]] bool open() const { return peer != nullptr && peer->open(); }

    void close() {
        if (peer != nullptr) {
            peer->close();
            peer.reset();
        }
    }
};

/// One session being served. What its caller has set and prepared is kept here
/// whoever runs its statements, so that the next operation may run elsewhere.
template <routing::link_connector Connector>
struct conversation {
    session_state state;
    std::optional<typename statement_engine<Connector>::transaction> open{};
    session_status status{};
    /// Of another proxy's caller.
    bool relayed{false};
    served_by where{served_by::itself};
    relayed_part<typename Connector::relay> elsewhere{};

    /// Whether the caller has no transaction open.
    [[nodiscard]] bool between_operations() const { return !open && elsewhere.state == sql::transaction_state::idle; }
};

} // namespace cornellever::session
