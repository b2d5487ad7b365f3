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

/// How the emulated store misbehaves at present.
struct store_faults {
    /// Answered to every call instead of doing it: 503 or 429; 0 when well.
    unsigned error_status{0};
    std::chrono::milliseconds delay{0};
    /// Writes that are done and not answered.
    int dropped_responses{0};
    /// Writes that are done a second later, if their condition still holds,
    /// and not answered.
    int delayed_writes{0};
};

/// The platform's metadata store and its promotion call, in memory, over HTTP.
class metadata_store {
public:
    /// Takes an order: service, server, holder, token; false when it is refused.
    using promotion_handler =
        std::function<bool(const std::string&, const std::string&, const std::string&, std::uint64_t)>;

    metadata_store(asio::io_context& io, tcp::endpoint listen, promotion_handler promote);

    /// Writes or removes a row as the operators and the servers do.
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    void drop_change_history() { m_changes.clear(); }

    /// Goes back to how it was so long ago, as a store that is restored from a
    /// copy: versions are given out again, in another era.
    void restore_snapshot(std::chrono::milliseconds age);

    /// The keys of a table.
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
