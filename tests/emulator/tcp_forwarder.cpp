#include "tcp_forwarder.hpp"

#include <algorithm>
#include <array>

#include "accept_each.hpp"
#include "platform/status_server.hpp"

namespace cornellever::emulator {

struct gateway::pipe {
    pipe(asio::io_context& io, tcp::socket taken, std::uint64_t given)
        : from{std::move(taken)}
        , to{io}
        , number{given} {}

    void reset() {
        boost::system::error_code ignored;
        from.set_option(asio::socket_base::linger{true, 0}, ignored);
        from.close(ignored);
        to.close(ignored);
    }

    tcp::socket from;
    tcp::socket to;
    std::uint64_t number;
    /// The first bytes, which tell who connected.
    std::string opening;
    /// Bytes were lost: those behind them never arrive either.
    bool silent{false};
};

gateway::gateway(asio::io_context& io, tcp::endpoint listen, tcp::endpoint target)
    : m_io{io}
    , m_listen{std::move(listen)}
    , m_target{std::move(target)}
    , m_acceptor{io} {}

void gateway::open() {
    if (!m_acceptor.is_open()) {
        if (auto bound = platform::listen_on(m_acceptor, m_listen); !bound) {
            throw std::runtime_error{bound.error().message};
        }
        const auto take = [this](tcp::socket socket) {
            asio::co_spawn(m_io, carry(std::make_shared<pipe>(m_io, std::move(socket), ++m_last)), asio::detached);
        };
        asio::co_spawn(m_io, accept_each(m_acceptor, take), asio::detached);
    }
}

void gateway::refuse() {
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    reset_all();
}

void gateway::reset_all() {
    for (const auto& item : m_pipes) {
        item->reset();
    }
}

void gateway::cut_for(std::chrono::milliseconds span, bool one_way, std::set<std::string> only) {
    faults.cut_until = boot_clock::now() + span;
    faults.one_way = one_way;
    faults.only = std::move(only);
}

bool gateway::swallows(const pipe& through, bool back) const {
    if (through.number < faults.silent_below) {
        return true;
    }
    if (boot_clock::now() >= faults.cut_until || (faults.one_way && !back)) {
        return false;
    }
    return faults.only.empty() || std::ranges::any_of(faults.only, [&](const auto& name) {
               return through.opening.find(name) != std::string::npos;
           });
}

asio::awaitable<void> gateway::carry(std::shared_ptr<pipe> through) {
    m_pipes.insert(through);
    boost::system::error_code ec;
    co_await through->to.async_connect(m_target, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        through->reset();
        m_pipes.erase(through);
        co_return;
    }
    through->from.set_option(tcp::no_delay{true}, ec);
    through->to.set_option(tcp::no_delay{true}, ec);
    asio::co_spawn(m_io, pump(through, true), asio::detached);
    co_await pump(through, false);
    m_pipes.erase(through);
}

/// Servers drop a connection whose other end is out of reach; its own end
/// hears nothing of that.
asio::awaitable<void> gateway::drop_far_end(std::shared_ptr<pipe> through) {
    constexpr std::chrono::seconds dropped_after{3};
    co_await sleep_for(dropped_after);
    boost::system::error_code ignored;
    through->to.close(ignored);
}

asio::awaitable<void> gateway::pump(std::shared_ptr<pipe> through, bool back) {
    auto& source = back ? through->to : through->from;
    auto& target = back ? through->from : through->to;
    std::array<char, 16384> chunk{};
    for (;;) {
        boost::system::error_code ec;
        const auto size =
            co_await source.async_read_some(asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            break;
        }
        if (!back && through->opening.empty()) {
            through->opening.assign(chunk.data(), size);
        }
        if (faults.delay.count() > 0) {
            co_await sleep_for(faults.delay);
        }
        if (!through->silent && swallows(*through, back)) {
            through->silent = true;
            asio::co_spawn(m_io, drop_far_end(through), asio::detached);
        }
        if (through->silent) {
            continue;
        }
        co_await asio::async_write(target, asio::buffer(chunk.data(), size),
                                   asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            break;
        }
    }
    boost::system::error_code ignored;
    if (!through->silent) {
        target.shutdown(tcp::socket::shutdown_send, ignored);
        if (ignored) {
            through->reset();
        }
    }
}

} // namespace cornellever::emulator
