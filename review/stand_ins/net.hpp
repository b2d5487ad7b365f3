#pragma once

// Small helpers that the stand-ins of the review share: time, free ports, a line-based connection and child processes.

#include <chrono>
#include <csignal>
#include <cstdio>
#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio.hpp>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline asio::awaitable<void> sleep_for(milliseconds span) {
    asio::steady_timer timer{co_await asio::this_coro::executor, span};
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

/// Writes what was sent, answered and run, with the time since the start.
class recorder {
public:
    explicit recorder(const std::string& path) : m_out{path, std::ios::app} {}

    void line(const std::string& text) {
        const auto at = std::chrono::duration<double>(clock::now() - m_started).count();
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%9.4f ", at);
        m_out << stamp << text << std::endl;
    }

private:
    std::ofstream m_out;
    clock::time_point m_started{clock::now()};
};

/// Returns loopback ports that are free for TCP and UDP.
inline std::vector<unsigned short> free_ports(asio::io_context& io, std::size_t count) {
    std::vector<unsigned short> out;
    std::vector<std::unique_ptr<tcp::acceptor>> held;
    while (out.size() < count) {
        auto taken = std::make_unique<tcp::acceptor>(io, tcp::endpoint{asio::ip::address_v4::loopback(), 0});
        const auto port = taken->local_endpoint().port();
        asio::ip::udp::socket datagrams{io};
        boost::system::error_code ec;
        datagrams.open(asio::ip::udp::v4(), ec);
        datagrams.bind({asio::ip::address_v4::loopback(), port}, ec);
        if (!ec) {
            out.push_back(port);
        }
        held.push_back(std::move(taken));
    }
    return out;
}

inline tcp::endpoint loopback(unsigned short port) {
    return {asio::ip::address_v4::loopback(), port};
}

inline std::string text_of(const tcp::endpoint& where) {
    return where.address().to_string() + ":" + std::to_string(where.port());
}

/// Removes and returns the first word of `text`.
inline std::string take_word(std::string& text) {
    const auto blank = text.find(' ');
    auto out = text.substr(0, blank);
    text = blank == std::string::npos ? std::string{} : text.substr(blank + 1);
    return out;
}

/// A connection that carries lines ending in CR LF.
class line_connection {
public:
    explicit line_connection(tcp::socket socket) : m_socket{std::move(socket)} {
        boost::system::error_code ignored;
        m_socket.set_option(tcp::no_delay{true}, ignored);
    }

    /// Returns the next line, or nothing once the connection has ended.
    asio::awaitable<std::optional<std::string>> next() {
        boost::system::error_code ec;
        const auto size = co_await asio::async_read_until(m_socket, asio::dynamic_buffer(m_unread), '\n',
                                                          asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            co_return std::nullopt;
        }
        auto line = m_unread.substr(0, size - 1);
        m_unread.erase(0, size);
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        co_return line;
    }

    asio::awaitable<bool> write(std::string bytes) {
        boost::system::error_code ec;
        co_await asio::async_write(m_socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ec));
        co_return !ec;
    }

    void close() {
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }

private:
    tcp::socket m_socket;
    std::string m_unread;
};

/// A program of the project, started as a process of its own. Ends with this process.
class child_process {
public:
    child_process(const std::vector<std::string>& command, const std::string& settings, const std::string& log) {
        m_id = ::fork();
        if (m_id == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::setenv("CORNELLEVER_BOOT", settings.c_str(), 1);
            if (std::freopen(log.c_str(), "a", stdout) == nullptr || ::dup2(1, 2) < 0) {
                ::_exit(127);
            }
            for (int fd = 3; fd < 1024; ++fd) {
                ::close(fd);
            }
            std::vector<char*> words;
            for (const auto& item : command) {
                words.push_back(const_cast<char*>(item.c_str()));
            }
            words.push_back(nullptr);
            ::execv(words[0], words.data());
            ::_exit(127);
        }
    }
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    ~child_process() {
        if (running()) {
            ::kill(m_id, SIGKILL);
            ::waitpid(m_id, nullptr, 0);
        }
    }

    [[nodiscard]] bool running() {
        if (m_id > 0 && ::waitpid(m_id, nullptr, WNOHANG) == m_id) {
            m_id = -1;
        }
        return m_id > 0;
    }
    void signal(int number) {
        if (running()) {
            ::kill(m_id, number);
        }
    }

private:
    pid_t m_id{-1};
};

} // namespace review
