#include <charconv>
#include <cstdio>
#include <utility>

#include "server_session.hpp"

// The statements of an emulated server that belong to no caller.

namespace cornellever::emulator {

/// Returns the reply to STATUS and STEPDOWN: role, term, position received, term held, lag in ms, busy slots and
/// connections. The position applied is in the READY line.
std::string emulated_server::status_row() const {
    const auto count = applied();
    const auto behind = count == m_log.size() ? 0 : to_ms(boot_clock::now() - m_log[count].received_at);
    return "ROW " + std::string{is_primary() ? "primary" : "replica"} + " " + std::to_string(m_term) + " " +
           sql::to_string(position_of(m_log.size())) + " 0 " + std::to_string(behind) + " " +
           std::to_string(m_slots.busy()) + " " + std::to_string(m_sessions.size()) + "\r\n";
}

/// A primary of a term below `text` becomes a replica that keeps its log and what it has applied. Returns whether the
/// text is a term.
bool emulated_server::step_down(const session& client, std::string_view text) {
    std::uint64_t term = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), term);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
        return false;
    }
    if (is_primary() && m_term < term) {
        m_stepped_down = true;
        std::printf("%s stepped down for %s in term %llu with %zu log entries\n", m_id.c_str(), client.user.c_str(),
                    static_cast<unsigned long long>(m_term), m_log.size());
        if (const auto notify = std::exchange(m_service.on_step_down, nullptr)) {
            notify(client.user);
        }
    }
    return true;
}

std::string emulated_server::begin(session& client, bool read_only) {
    if (client.state != 'I') {
        return error_reply(client, "MALFORMED");
    }
    if (!read_only && !is_primary()) {
        return error_reply(client, "READONLY");
    }
    client.state = 'T';
    client.read_write = !read_only;
    client.term = m_term;
    return "COMPLETE -\r\n" + ready_line(client);
}

std::string emulated_server::run_proxy_statement(session& client, const std::string& text) {
    auto rest = text;
    const auto word = next_word(rest);
    if (word == "BEGIN") {
        return begin(client, rest == "READ");
    }
    if (word == "STATUS" || (word == "STEPDOWN" && step_down(client, rest))) {
        return status_row() + "COMPLETE -\r\n" + ready_line(client);
    }
    if (word == "ROLLBACK") {
        client.end_transaction();
    } else if (client.state == 'E') {
        return error_reply(client, "MALFORMED");
    } else if (client.read_write && (!is_primary() || client.term != m_term)) {
        return error_reply(client, "READONLY");
    } else if (word == "SET") {
        if (!rest.contains(' ')) {
            return error_reply(client, "MALFORMED");
        }
        const auto name = next_word(rest);
        client.values[name] = rest;
    } else if (word == "PREPARE") {
        const auto name = next_word(rest);
        const bool valid = rest.starts_with("READ ") || rest.starts_with("WRITE ");
        if (!valid || rest.substr(rest.find(' ') + 1) == refused_shape) {
            return error_reply(client, "MALFORMED");
        }
        client.prepared[name] = rest;
    } else if (word == "RESET") {
        client.values.clear();
        client.prepared.clear();
    } else if (word == "DEALLOCATE") {
        client.prepared.erase(rest);
    } else {
        m_service.checker().report_violation("unknown statement",
                                             m_id + " received a proxy statement it does not expect: " + text);
    }
    return "COMPLETE -\r\n" + ready_line(client);
}

} // namespace cornellever::emulator
