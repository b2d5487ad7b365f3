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
    unsigned refuse_with{0};
    std::chrono::milliseconds delay{0};
    /// Writes that are done and not answered.
    int lose_answers{0};
    /// Writes that are done a second later, if their condition still holds,
    /// and not answered.
    int late_writes{0};
};

/// The platform's metadata store and its promotion call, in memory, over HTTP.
class metadata_store {
public:
    /// Takes an order: service, server, holder, token; false when it is refused.
    using on_order = std::function<bool(const std::string&, const std::string&, const std::string&, std::uint64_t)>;

    metadata_store(asio::io_context& io, tcp::endpoint listen, on_order order);

    /// Writes or removes a row as the operators and the servers do.
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    void drop_history() { m_history.clear(); }

    /// Goes back to how it was so long ago, as a store that is restored from a
    /// copy: versions are given out again, in another era.
    void return_from_copy(std::chrono::milliseconds age);

    /// The keys of a table.
    [[nodiscard]] std::vector<std::string> keys(const std::string& table) const;
    [[nodiscard]] bool well() const noexcept { return faults.refuse_with == 0; }

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
    using answer = http::response<http::string_body>;
    using question = http::request<http::string_body>;

    struct copy {
        boot_clock::time_point made_at;
        std::map<std::string, table> tables;
        std::uint64_t version{0};
    };

    asio::awaitable<void> make_copies();
    asio::awaitable<void> serve(tcp::socket socket);
    asio::awaitable<std::optional<answer>> handle(const question& asked);
    asio::awaitable<std::optional<answer>> transact(const question& asked);
    asio::awaitable<answer> feed(const std::map<std::string, std::string>& params);
    answer list(const std::map<std::string, std::string>& params);
    answer order(const question& asked);
    bool apply(const Json::Value& body);
    void write(const std::string& table, const std::string& key, std::optional<std::string> value);
    Json::Value encoded(const std::string& table, const std::string& key) const;

    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    on_order m_order;
    std::map<std::string, table> m_tables;
    std::deque<change> m_history;
    std::uint64_t m_version{0};
    std::deque<copy> m_copies;
    std::uint64_t m_era{1};
    boot_clock::time_point m_started{boot_clock::now()};
};

} // namespace cornellever::emulator
