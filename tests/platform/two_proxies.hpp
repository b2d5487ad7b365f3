#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "cornellever/core/daemon.hpp"
#include "fake_link.hpp"
#include "loopback_server.hpp"
#include "platform/backend_connection.hpp"
#include "platform/caller_listener.hpp"

namespace cornellever::test {

/// Gives the replicas' connections time to open, so that each statement is always placed on the same server.
inline constexpr std::chrono::milliseconds pause_between_statements{30};

/// Runs a caller's session over TCP: sends each line after the reply to the one before, and appends both to
/// `transcript`. Waits for `pause` after each reply.
inline asio::awaitable<void> run_session(tcp::endpoint to, std::vector<std::string> lines, std::string& transcript,
                                         std::chrono::milliseconds pause = pause_between_statements) {
    tcp::socket socket{co_await asio::this_coro::executor};
    co_await socket.async_connect(to, asio::use_awaitable);
    platform::line_socket peer{std::move(socket)};
    for (const auto& line : lines) {
        transcript += "> " + line + "\n";
        peer.write(line + "\r\n");
        std::string got;
        while (!got.starts_with("READY")) {
            const auto line = co_await peer.next_line(boot_clock::now() + std::chrono::seconds{5});
            if (!line) {
                transcript += "< (closed)\n";
                co_return;
            }
            got = *line;
            transcript += "< " + got + "\n";
        }
        co_await sleep_for(pause);
    }
}

/// A proxy that accepts sessions on loopback.
struct listening_proxy {
    listening_proxy(event_loop& io, std::string name, std::uint16_t port, platform::session_source source)
        : connector{io.get_executor(), "proxy"}
        , host{io.get_executor(), connector, std::move(name), "here"}
        , callers{io.get_executor(), host, source}
        , here{asio::ip::make_address("127.0.0.1"), port} {
        BOOST_TEST_REQUIRE(callers.start(here).has_value());
    }

    platform::backend_connector connector;
    platform::traffic host;
    platform::caller_listener callers;
    tcp::endpoint here;
};

/// A primary, a proxy that owns connections to it (`owner`), and the proxy that callers connect to (`entry`); all on
/// loopback.
struct two_proxies {
    two_proxies(std::size_t limit, std::uint16_t port)
        : primary{io, "stock", "p", true}
        , entry{io, "a", port, platform::session_source::callers}
        , owner{io, "owner", static_cast<std::uint16_t>(port + 1), platform::session_source::proxies} {
        auto servers = three_servers();
        servers.servers.erase("r1");
        servers.servers.erase("r2");
        servers.servers["p"].address = primary.address();
        auto config = three_databases();
        config.services["stock"].max_connections = limit;
        for (auto* proxy : {&entry, &owner}) {
            proxy->host.update(config);
            proxy->host.update(servers);
        }
        owner.host.set_proxies({{"owner", "here", owner.here}});
    }

    /// A list of `count` proxies: first the entry, then entries with different names that all have the owner's address.
    [[nodiscard]] std::vector<session::proxy_node> proxies(int count) const {
        std::vector<session::proxy_node> out{{"a", "here", entry.here}};
        for (int i = 1; i < count; ++i) {
            out.push_back({"p" + std::to_string(i), "here", owner.here});
        }
        return out;
    }

    std::string play(const std::vector<std::string>& lines) { return play_in_turn({lines}, pause_between_statements); }

    /// Runs the sessions one after the other and returns their transcript. Call this or `play` once.
    std::string play_in_turn(const std::vector<std::vector<std::string>>& sessions, std::chrono::milliseconds pause) {
        std::string transcript;
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                for (const auto& lines : sessions) {
                    co_await run_session(entry.here, lines, transcript, pause);
                }
                io.stop();
            },
            asio::detached);
        io.run();
        io.destroy_suspended_coroutines();
        return transcript;
    }

    event_loop io;
    loopback_server primary;
    listening_proxy entry;
    listening_proxy owner;
};

} // namespace cornellever::test
