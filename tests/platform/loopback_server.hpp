#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "cornellever/core/asio.hpp"
#include "cornellever/core/text_parsing.hpp"
#include "platform/line_socket.hpp"

namespace cornellever::test {

/// A callers' statement that a server has run.
struct executed_statement {
    std::string id;
    /// The statement as its caller would have sent it without preparing it. For EXECUTE: the access mode and the shape
    /// under which the name was prepared, a line end, and the operands.
    std::string text;
    /// The values set on the connection.
    std::map<std::string, std::string> values;

    friend bool operator==(const executed_statement&, const executed_statement&) = default;
    friend std::ostream& operator<<(std::ostream& out, const executed_statement& what) {
        return out << what.id << ": " << what.text.substr(0, 200) << " with " << what.values.size() << " values";
    }
};

/// A backend server on loopback that implements the platform's statement protocol in memory and records the callers'
/// statements that it receives. Closes a connection on which it receives a message of more than 1 MiB.
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
    /// The callers' statements that were run, in their order.
    std::vector<executed_statement> executed;
    /// The number of statements that were refused because no statement is prepared under their name.
    int unknown_names{0};
    /// The number of messages that were longer than 1 MiB.
    int long_messages{0};
    /// The longest name under which a statement was prepared.
    std::size_t longest_name{0};
    /// Refuses to prepare statements of this shape.
    std::string refused_shape;

private:
    static constexpr std::size_t max_message_bytes = std::size_t{1024} * 1024;
    static constexpr std::size_t max_row_bytes = 64;

    struct session {
        char state{'I'};
        std::map<std::string, std::string> values;
        /// Access mode and shape by name.
        std::map<std::string, std::string> prepared;
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
            if (line.size() + 2 > max_message_bytes) {
                ++long_messages;
                co_return;
            }
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

    std::string refuse(session& current, std::string_view code) const {
        current.state = current.state == 'I' ? 'I' : 'E';
        return "ERROR " + std::string{code} + " " + m_id + "\r\n" + ready(current);
    }

    std::string reply_to(const std::string& line, session& current) {
        std::string_view request{line};
        (void)next_word(request);
        const auto id = next_word(request);
        if (request.starts_with("AFTER ")) {
            (void)next_word(request);
            (void)next_word(request);
        }
        auto rest = request;
        const auto word = next_word(rest);
        if (current.state == 'E' && word != "ROLLBACK" && word != "COMMIT") {
            return refuse(current, "MALFORMED");
        }
        if (id == "-") {
            return reply_to_proxy(word, rest, current);
        }
        std::string text{request};
        std::string row;
        if (word == "COMMIT") {
            ++m_number;
            current.state = 'I';
        } else if (word == "EXECUTE") {
            const auto found = current.prepared.find(std::string{next_word(rest)});
            if (found == current.prepared.end()) {
                ++unknown_names;
                return refuse(current, "NOSTMT");
            }
            text = found->second + "\n" + std::string{rest};
        }
        if (text.starts_with("WRITE ")) {
            if (!m_is_primary) {
                return refuse(current, "READONLY");
            }
            m_number += current.state == 'I' ? 1 : 0;
        } else if (text.starts_with("READ ")) {
            row = "ROW row-of-" + std::string{rest.substr(rest.rfind(' ') + 1, max_row_bytes)} + "\r\n";
        } else if (word != "COMMIT") {
            return refuse(current, "MALFORMED");
        }
        executed.push_back({std::string{id}, text, current.values});
        return row + "COMPLETE sig." + std::to_string(++m_signatures) + "\r\n" + ready(current);
    }

    /// Returns the reply to a statement that a proxy itself issued.
    std::string reply_to_proxy(std::string_view word, std::string_view rest, session& current) {
        if (word == "BEGIN") {
            if (rest != "READ" && !m_is_primary) {
                return refuse(current, "READONLY");
            }
            current.state = 'T';
        } else if (word == "ROLLBACK") {
            current.state = 'I';
        } else if (word == "SET") {
            const std::string name{next_word(rest)};
            current.values[name] = rest;
        } else if (word == "PREPARE") {
            const std::string name{next_word(rest)};
            const bool valid = rest.starts_with("READ ") || rest.starts_with("WRITE ");
            if (!valid || rest.substr(rest.find(' ') + 1) == refused_shape) {
                return refuse(current, "MALFORMED");
            }
            longest_name = std::max(longest_name, name.size());
            current.prepared[name] = rest;
        } else if (word == "RESET") {
            current.values.clear();
            current.prepared.clear();
        }
        return "COMPLETE -\r\n" + ready(current);
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
