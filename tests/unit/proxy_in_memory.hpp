#pragma once

#include <string>
#include <vector>

#include "cornellever/core/daemon.hpp"
#include "cornellever/session/traffic.hpp"
#include "fake_caller.hpp"
#include "fake_link.hpp"

namespace cornellever::test {

/// Proxies `a`, `b` and so on, alternating between two data centres.
[[nodiscard]] inline std::vector<session::proxy_node> make_proxies(std::size_t count) {
    std::vector<session::proxy_node> out;
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back({std::string(1, static_cast<char>('a' + i)),
                       i % 2 == 0 ? "here" : "there",
                       {asio::ip::make_address("10.0.0.1"), static_cast<unsigned short>(1000 + i)}});
    }
    return out;
}

/// A proxy in memory with three fake servers.
struct proxy_in_memory {
    event_loop io;
    fake_connector connector;
    session::traffic<fake_connector> host{io.get_executor(), connector, "a", "here"};

    /// Tag for a proxy that has no configuration yet.
    struct unconfigured {};

    proxy_in_memory() { configure(); }
    explicit proxy_in_memory(unconfigured) {}

    void configure() {
        connector.servers["p"].is_primary = true;
        host.update(three_databases());
        host.update(three_servers());
        host.set_proxies(make_proxies(3));
    }

    /// Runs `what` after `when`, while a script is played.
    void later(std::chrono::milliseconds when, std::function<void()> what) {
        asio::co_spawn(
            io,
            [](std::chrono::milliseconds after, std::function<void()> then) -> asio::awaitable<void> {
                co_await sleep_for(after);
                then();
            }(when, std::move(what)),
            asio::detached);
    }

    /// Lets the proxy do its periodic work for `length`; `before_tick` runs each time before.
    void run_for(
        std::chrono::milliseconds length, std::function<void()> before_tick = [] {}) {
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                const auto begun = boot_clock::now();
                while (boot_clock::now() - begun < length) {
                    before_tick();
                    host.tick();
                    co_await sleep_for(std::chrono::milliseconds{20});
                }
                io.stop();
            },
            asio::detached);
        io.run();
        io.restart();
    }

    fake_server& server(const std::string& id) { return connector.servers[id]; }

    /// Serves the scripted callers one after the other.
    void play(std::vector<caller_script*> scripts) {
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                for (auto* script : scripts) {
                    co_await host.serve(fake_caller{*script});
                }
                co_await sleep_for(std::chrono::milliseconds{5});
                io.stop();
            },
            asio::detached);
        io.run();
        io.restart();
    }

    /// Serves the scripted callers concurrently, started 15 ms apart. `watch`
    /// runs every 2 ms.
    void play_together(std::vector<caller_script*> scripts, std::function<void()> watch) {
        std::size_t left = scripts.size();
        std::chrono::milliseconds begin{0};
        for (auto* script : scripts) {
            asio::co_spawn(
                io,
                [](proxy_in_memory& self, caller_script& one, std::chrono::milliseconds after,
                   std::size_t& pending) -> asio::awaitable<void> {
                    co_await sleep_for(after);
                    co_await self.host.serve(fake_caller{one});
                    --pending;
                }(*this, *script, begin, left),
                asio::detached);
            begin += std::chrono::milliseconds{15};
        }
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                while (left > 0) {
                    watch();
                    co_await sleep_for(std::chrono::milliseconds{2});
                }
                io.stop();
            },
            asio::detached);
        io.run();
        io.restart();
    }

    ~proxy_in_memory() { io.destroy_suspended_coroutines(); }
};

} // namespace cornellever::test
