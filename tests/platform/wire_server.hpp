#pragma once

#include <map>
#include <string>
#include <vector>

#include "cornellever/core/asio.hpp"
#include "platform/line_socket.hpp"

namespace cornellever::test {

/// A backend server on loopback that speaks the platform's statement protocol
/// as its pages say, in memory. Everything it is sent is noted down.
class wire_server {
public:
    wire_server(asio::io_context& io, std::string service, std::string id, bool is_primary)
        : m_io{io}
        , m_acceptor{io, tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0}}
        , m_service{std::move(service)}
        , m_id{std::move(id)}
        , m_leads{is_primary} {
        asio::co_spawn(m_io, accept(), asio::detached);
    }

    [[nodiscard]] tcp::endpoint address() const { return m_acceptor.local_endpoint(); }
    /// Callers' statements, with their prefix, as they arrived.
    std::vector<std::string> callers_lines;

private:
    struct session {
        char state{'I'};
    };

    asio::awaitable<void> accept() {
        for (;;) {
            boost::system::error_code ec;
            auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
            if (!ec) {
                asio::co_spawn(m_io, serve(std::move(socket)), asio::detached);
            }
        }
    }

    asio::awaitable<void> serve(tcp::socket socket) {
        platform::line_socket lines{std::move(socket)};
        session now;
        for (;;) {
            const auto got = co_await lines.next_line(boot_clock::now() + std::chrono::seconds{10});
            if (!got) {
                co_return;
            }
            const auto& line = *got;
            if (line.starts_with("STARTUP ")) {
                const bool mine = line.starts_with("STARTUP " + m_service + " ") && line.ends_with(" " + m_id);
                lines.write(mine ? "READY I 1.10\r\n" : "ERROR MISROUTED " + m_id + "\r\n");
                continue;
            }
            if (!line.starts_with("QUERY - ")) {
                callers_lines.push_back(m_id + " " + line);
            }
            lines.write(answer(line, now));
        }
    }

    std::string answer(const std::string& line, session& now) {
        const auto word_at = line.find(' ', line.find(' ') + 1) + 1;
        auto text = line.substr(word_at);
        const bool own = line.starts_with("QUERY - ");
        if (text.starts_with("AFTER ")) {
            text = text.substr(text.find(' ', 6) + 1);
        }
        std::string out;
        if (text == "BEGIN" && !m_leads) {
            return "ERROR READONLY " + m_id + "\r\n" + ready(now);
        }
        if (text.starts_with("BEGIN")) {
            now.state = 'T';
        } else if (text == "ROLLBACK" || text == "COMMIT") {
            m_number += text == "COMMIT" ? 1 : 0;
            now.state = 'I';
        } else if (text.starts_with("READ ") || text.starts_with("EXECUTE r_")) {
            out = "ROW row-of-" + text.substr(text.rfind(' ') + 1) + "\r\n";
        } else if (text.starts_with("WRITE ") || text.starts_with("EXECUTE w_")) {
            m_number += now.state == 'I' ? 1 : 0;
        }
        return out + "COMPLETE " + (own ? std::string{"-"} : "sig." + std::to_string(++m_signatures)) + "\r\n" +
               ready(now);
    }

    [[nodiscard]] std::string ready(const session& now) const {
        return std::string{"READY "} + now.state + " 1." + std::to_string(m_number) + "\r\n";
    }

    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    std::string m_service;
    std::string m_id;
    bool m_leads;
    int m_number{10};
    int m_signatures{0};
};

} // namespace cornellever::test
