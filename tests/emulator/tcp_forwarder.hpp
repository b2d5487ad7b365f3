#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "cornellever/core/asio.hpp"
#include "cornellever/core/boot_clock.hpp"

namespace cornellever::emulator {

/// What a gateway does to the bytes that pass it.
struct path_faults {
    /// Connections opened before are silent for good; new ones work.
    std::uint64_t silent_below{0};
    /// Nothing passes, and nothing says so, until then.
    boot_clock::time_point cut_until{};
    /// Only what comes back is lost.
    bool one_way{false};
    /// Only for connections whose first bytes contain one of these; all when empty.
    std::set<std::string> only{};
    std::chrono::milliseconds delay{0};
};

/// A loopback proxy: passes connections on to a target and injects faults.
class gateway {
public:
    gateway(asio::io_context& io, tcp::endpoint listen, tcp::endpoint target);

    [[nodiscard]] const tcp::endpoint& address() const noexcept { return m_listen; }

    /// Stops listening, so that new connections are refused, or goes on.
    void open();
    void refuse();

    /// Resets every connection.
    void reset_all();
    /// Connections that are open now go silent for good.
    void silence_open() { faults.silent_below = m_last + 1; }
    void cut_for(std::chrono::milliseconds span, bool one_way, std::set<std::string> only);

    path_faults faults;

private:
    struct pipe;

    asio::awaitable<void> carry(std::shared_ptr<pipe> through);
    asio::awaitable<void> pump(std::shared_ptr<pipe> through, bool back);
    asio::awaitable<void> drop_far_end(std::shared_ptr<pipe> through);
    [[nodiscard]] bool swallows(const pipe& through, bool back) const;

    asio::io_context& m_io;
    tcp::endpoint m_listen;
    tcp::endpoint m_target;
    tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<pipe>> m_pipes;
    std::uint64_t m_last{0};
};

} // namespace cornellever::emulator
