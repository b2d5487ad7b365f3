#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/beast/http.hpp>
#include <jsoncpp/json/value.h>

#include "cornellever/core/asio.hpp"
#include "cornellever/core/boot_clock.hpp"

namespace cornellever::emulator {

namespace http = boost::beast::http;

/// Faults that the emulated store currently injects.
struct store_faults {
    /// HTTP status (503 or 429) returned to every call without executing it; 0: none.
    unsigned error_status{0};
    std::chrono::milliseconds delay{0};
    /// Number of coming transactions that are executed but get no response.
    int dropped_responses{0};
    /// Number of coming transactions that are executed one second late, if their
    /// expected versions still match then, and get no response.
    int delayed_writes{0};
};

/// In-memory emulation of the platform's metadata store and promotion API over HTTP.
class metadata_store {
public:
    /// Handles a promotion request (service, server, token holder, fencing
    /// token); returns false when it is refused.
    using promotion_handler =
        std::function<bool(const std::string&, const std::string&, const std::string&, std::uint64_t)>;

    /// Starts serving; throws `std::runtime_error` when `listen` cannot be bound.
    metadata_store(asio::io_context& io, tcp::endpoint listen, promotion_handler promote);

    /// Writes or removes a row unconditionally, as operators and servers do.
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    /// Discards the change history, so that readers of changes have to start over.
    void drop_change_history() { m_changes.clear(); }

    /// Restores the state of `age` ago, as a store that is recovered from a
    /// backup: version numbers are reused, under a new era.
    void restore_snapshot(std::chrono::milliseconds age);

    [[nodiscard]] std::vector<std::string> keys(const std::string& table) const;
    [[nodiscard]] bool available() const noexcept { return faults.error_status == 0; }

    store_faults faults;

private:
    struct row {
        std::string value;
        std::uint64_t version{0};
    };
    struct change {
        std::uint64_t version{0};
        std::string table;
        std::string key;
    };
    using table = std::map<std::string, row>;
    using http_response = http::response<http::string_body>;
    using http_request = http::request<http::string_body>;

    struct snapshot {
        boot_clock::time_point taken_at;
        std::map<std::string, table> tables;
        std::uint64_t version{0};
    };

    asio::awaitable<void> take_snapshots();
    asio::awaitable<void> serve(tcp::socket socket);
    asio::awaitable<std::optional<http_response>> handle(const http_request& incoming);
    asio::awaitable<std::optional<http_response>> transact(const http_request& incoming);
    asio::awaitable<http_response> wait_for_changes(const std::map<std::string, std::string>& params);
    http_response list_rows(const std::map<std::string, std::string>& params);
    http_response handle_promotion(const http_request& incoming);
    bool apply(const Json::Value& body);
    void write(const std::string& table, const std::string& key, std::optional<std::string> value);
    Json::Value encode_row(const std::string& table, const std::string& key) const;

    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    promotion_handler m_promote;
    std::map<std::string, table> m_tables;
    std::deque<change> m_changes;
    std::uint64_t m_version{0};
    std::deque<snapshot> m_snapshots;
    std::uint64_t m_era{1};
    boot_clock::time_point m_started{boot_clock::now()};
};

} // namespace cornellever::emulator
