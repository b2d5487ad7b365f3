#pragma once

#include <map>
#include <string>
#include <vector>

#include "cornellever/core/asio.hpp"
#include "platform/line_socket.hpp"

namespace cornellever::test {

/// A backend server on loopback that implements the platform's statement protocol in memory and records the callers'
/// statements that it receives.
class loopback_server {
public:
    loopback_server(asio::io_context& io, std::string service, std::string id, bool is_primary)
        : m_io{io}
        , m_acceptor{io, tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0}}
        , m_service{std::move(service)}
        , m_id{std::move(id)}
        , m_is_primary{is_primary} {
        asio::co_spawn(m_io, accept(), asio::detached);
    }

    [[nodiscard]] tcp::endpoint address() const { return m_acceptor.local_endpoint(); }
    /// The callers' statements in the order of their arrival: this server's id, then the line.
    std::vector<std::string> caller_statements;

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
        platform::line_socket connection{std::move(socket)};
        session current;
        for (;;) {
            const auto got = co_await connection.next_line(boot_clock::now() + std::chrono::seconds{10});
            if (!got) {
                co_return;
            }
            const auto& line = *got;
            if (line.starts_with("STARTUP ")) {
                const bool accepted = line.starts_with("STARTUP " + m_service + " ") && line.ends_with(" " + m_id);
                connection.write(accepted ? "READY I 1.10\r\n" : "ERROR MISROUTED " + m_id + "\r\n");
                continue;
            }
            if (!line.starts_with("QUERY - ")) {
                caller_statements.push_back(m_id + " " + line);
            }
            connection.write(reply_to(line, current));
        }
    }

    std::string reply_to(const std::string& line, session& current) {
        const auto word_at = line.find(' ', line.find(' ') + 1) + 1;
        auto text = line.substr(word_at);
        const bool from_proxy = line.starts_with("QUERY - ");
        if (text.starts_with("AFTER ")) {
            text = text.substr(text.find(' ', 6) + 1);
        }
        std::string out;
        if (text == "BEGIN" && !m_is_primary) {
            return "ERROR READONLY " + m_id + "\r\n" + ready(current);
        }
        if (text.starts_with("BEGIN")) {
            current.state = 'T';
        } else if (text == "ROLLBACK" || text == "COMMIT") {
            m_number += text == "COMMIT" ? 1 : 0;
            current.state = 'I';
        } else if (text.starts_with("READ ") || text.starts_with("EXECUTE r_")) {
            out = "ROW row-of-" + text.substr(text.rfind(' ') + 1) + "\r\n";
        } else if (text.starts_with("WRITE ") || text.starts_with("EXECUTE w_")) {
            m_number += current.state == 'I' ? 1 : 0;
        }
        return out + "COMPLETE " + (from_proxy ? std::string{"-"} : "sig." + std::to_string(++m_signatures)) + "\r\n" +
               ready(current);
    }

    [[nodiscard]] std::string ready(const session& current) const {
        return std::string{"READY "} + current.state + " 1." + std::to_string(m_number) + "\r\n";
    }

    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    std::string m_service;
    std::string m_id;
    bool m_is_primary;
    int m_number{10};
    int m_signatures{0};
};

} // namespace cornellever::test
