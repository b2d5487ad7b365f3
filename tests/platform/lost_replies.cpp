#include <boost/test/unit_test.hpp>

#include "cornellever/core/daemon.hpp"
#include "platform/backend_connection.hpp"

using namespace cornellever;
using namespace std::chrono_literals;
using sql::statement_kind;

namespace {

constexpr std::string_view read_only_reply = "ERROR READONLY s\r\nREADY I 1.10\r\n";

/// Sends a write and a BEGIN behind it to a server that responds with `response`, and returns the reply to the write.
/// `last` receives the last reply to the batch.
routing::link_reply write_with_begin(std::string response, routing::link_reply& last) {
    event_loop io;
    tcp::acceptor acceptor{io, tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0}};
    const auto serve = [&]() -> asio::awaitable<void> {
        auto socket = co_await acceptor.async_accept(asio::use_awaitable);
        platform::line_socket connection{std::move(socket)};
        const auto until = boot_clock::now() + 5s;
        co_await connection.next_line(until);
        connection.write("READY I 1.10\r\n");
        co_await connection.next_line(until);
        co_await connection.next_line(until);
        connection.write(response);
        co_await connection.next_line(until);
    };
    asio::co_spawn(io, serve(), asio::detached);
    routing::backend_server server;
    server.id = "s";
    server.service = "stock";
    server.address = acceptor.local_endpoint();
    platform::backend_connector connector{io.get_executor(), "proxy"};
    routing::link_reply out;
    const auto play = [&]() -> asio::awaitable<void> {
        auto opened = co_await connector.open(server, {}, boot_clock::now() + 1s);
        if (opened) {
            std::vector<sql::command> batch;
            batch.push_back({.request_id = "w", .what = {.kind = statement_kind::write, .text = "1 x"}});
            batch.push_back(sql::proxy_command(statement_kind::begin));
            out = co_await (*opened)->exchange(std::move(batch), 0, boot_clock::now() + 200ms);
            last = co_await (*opened)->await_pending(boot_clock::now() + 200ms);
        }
        io.stop();
    };
    asio::co_spawn(io, play(), asio::detached);
    io.run();
    io.destroy_suspended_coroutines();
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(lost_replies)

// Guards against a write that is executed twice: its reply is lost, and the error in reply to the BEGIN behind it,
// which says that nothing was executed, is taken for it.
BOOST_AUTO_TEST_CASE(an_error_is_not_taken_for_the_reply_to_an_earlier_statement) {
    routing::link_reply last;
    const auto reply = write_with_begin(std::string{read_only_reply}, last);
    BOOST_TEST_REQUIRE(!reply.has_value());
    BOOST_TEST((reply.error() == routing::link_failure::silent));
}

BOOST_AUTO_TEST_CASE(an_error_is_returned_once_the_whole_batch_is_answered) {
    routing::link_reply last;
    const auto both = std::string{"ERROR BUSY s\r\nREADY I 1.10\r\n"} + std::string{read_only_reply};
    const auto reply = write_with_begin(both, last);
    BOOST_TEST_REQUIRE(reply.has_value());
    BOOST_TEST((reply->why() == sql::refusal::overloaded));
    BOOST_TEST_REQUIRE(last.has_value());
    BOOST_TEST((last->why() == sql::refusal::not_primary));
}

BOOST_AUTO_TEST_SUITE_END()
