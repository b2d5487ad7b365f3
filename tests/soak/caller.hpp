#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "consistency_checker.hpp"
#include "platform/line_socket.hpp"
#include "platform/statement_codec.hpp"

namespace cornellever::soak {

using namespace emulator;

/// One caller: opens sessions at whichever proxy it is given, works, and
/// compares what it is told with what the servers did.
class caller {
public:
    /// Where the balancer sends the next connection; nothing when nowhere.
    using balancer = std::function<std::optional<tcp::endpoint>()>;
    /// A connection ended while a request was unanswered.
    using on_cut = std::function<void(const tcp::endpoint&, const request& asked)>;

    caller(promises& told, std::vector<database> databases, balancer next, on_cut cut, std::uint64_t seed);

    /// Works until `stop` is set.
    asio::awaitable<void> run(const bool& stop);

    /// One write and one read through a proxy; whether both were served.
    asio::awaitable<bool> check(tcp::endpoint at, const database& on);

private:
    struct outcome {
        sql::reply reply;
        bool answered{false};
    };

    asio::awaitable<bool> connect(tcp::endpoint at, const database& on);
    asio::awaitable<outcome> ask(std::string text, std::string prepared = {});
    asio::awaitable<void> session(const bool& stop);
    asio::awaitable<bool> set_up();
    asio::awaitable<bool> operation();
    asio::awaitable<bool> single();
    asio::awaitable<bool> transaction();
    asio::awaitable<bool> end_transaction(const std::vector<std::string>& writes);
    std::string statement(bool write, std::string& prepared);
    void judge(const request& asked, const outcome& got, const std::vector<std::string>& writes);
    [[nodiscard]] std::uint64_t below(std::uint64_t limit) { return m_random() % limit; }

    promises& m_promises;
    std::vector<database> m_databases;
    balancer m_next;
    on_cut m_cut;
    std::mt19937_64 m_random;
    std::unique_ptr<platform::line_socket> m_lines;
    tcp::endpoint m_at;
    const database* m_database{nullptr};
    std::uint64_t m_session{0};
    std::uint64_t m_transaction{0};
    time_point m_begun;
    std::map<std::string, std::string> m_values;
    std::map<std::string, std::string> m_prepared;
    platform::reply_decoder m_decoder;
};

} // namespace cornellever::soak
