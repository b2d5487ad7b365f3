#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "consistency_checker.hpp"
#include "field_texts.hpp"
#include "platform/line_socket.hpp"
#include "platform/statement_codec.hpp"
#include "replicated_service.hpp"

namespace cornellever::soak {

using namespace emulator;

/// A simulated caller: opens sessions at the proxies the load balancer picks,
/// runs random statements and transactions, and passes every reply to the
/// consistency checker.
class caller {
public:
    /// Returns the proxy for the next connection, or nothing when there is none.
    using balancer = std::function<std::optional<tcp::endpoint>()>;
    /// Called when a connection ended or timed out while a request had no reply.
    using disconnect_handler = std::function<void(const tcp::endpoint&, const request& issued)>;

    caller(consistency_checker& checker, std::vector<database> databases, balancer pick_proxy,
           disconnect_handler on_disconnect, std::uint64_t seed);

    /// Runs sessions until `stop` is set.
    asio::awaitable<void> run(const bool& stop);

    /// Runs one write and one read through a proxy; returns whether both succeeded.
    asio::awaitable<bool> probe(tcp::endpoint proxy, const database& target_database);

private:
    struct outcome {
        sql::reply reply;
        bool replied{false};
    };

    asio::awaitable<bool> connect(tcp::endpoint proxy, const database& target_database);
    asio::awaitable<outcome> execute(std::string text, std::string prepared = {});
    asio::awaitable<void> run_session(const bool& stop);
    asio::awaitable<bool> prepare_session();
    asio::awaitable<bool> run_operation();
    asio::awaitable<bool> run_autocommit();
    asio::awaitable<bool> execute_autocommit(bool write);
    asio::awaitable<bool> run_transaction();
    asio::awaitable<bool> end_transaction(const std::vector<std::string>& writes);
    std::string statement(bool write, std::string& prepared);
    std::string with_rarely_maximum_length(std::string text);
    std::string shape();
    std::string request_id();
    void record_outcome(const request& issued, const outcome& result, const std::vector<std::string>& writes);
    [[nodiscard]] std::uint64_t random_below(std::uint64_t limit) { return m_random() % limit; }

    consistency_checker& m_checker;
    std::vector<database> m_databases;
    balancer m_pick_proxy;
    disconnect_handler m_on_disconnect;
    std::mt19937_64 m_random;
    field_texts m_texts;
    std::unique_ptr<platform::line_socket> m_connection;
    tcp::endpoint m_proxy;
    const database* m_database{nullptr};
    std::uint64_t m_session{0};
    std::uint64_t m_transaction{0};
    time_point m_transaction_started_at;
    std::map<std::string, std::string> m_values;
    std::map<std::string, std::string> m_prepared;
    platform::reply_decoder m_decoder;
};

} // namespace cornellever::soak
