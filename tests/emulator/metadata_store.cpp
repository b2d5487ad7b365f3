#include "metadata_store.hpp"

#include <charconv>

#include <boost/beast/core.hpp>

#include "accept_each.hpp"
#include "cornellever/core/base64.hpp"
#include "cornellever/rpc/envelope.hpp"
#include "cornellever/rpc/fields.hpp"
#include "platform/status_server.hpp"

namespace cornellever::emulator {

namespace {

using namespace std::chrono_literals;

constexpr auto change_poll_interval = 10ms;
constexpr std::size_t max_changes = 400;
constexpr auto snapshot_period = 200ms;
constexpr std::size_t max_snapshots = 100;

std::uint64_t parse_number(const std::string& text) {
    std::uint64_t out = 0;
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

std::map<std::string, std::string> query_parameters(std::string target) {
    std::map<std::string, std::string> out;
    auto position = target.find('?');
    while (position != std::string::npos) {
        const auto end = target.find('&', position + 1);
        const auto item = target.substr(position + 1, end == std::string::npos ? end : end - position - 1);
        const auto separator = item.find('=');
        out[item.substr(0, separator)] = separator == std::string::npos ? "" : item.substr(separator + 1);
        position = end;
    }
    return out;
}

http::response<http::string_body> make_response(unsigned status, const Json::Value& body) {
    http::response<http::string_body> out{static_cast<http::status>(status), 11};
    out.keep_alive(true);
    out.set(http::field::content_type, "application/json");
    out.body() = rpc::to_text(body);
    out.prepare_payload();
    return out;
}

} // namespace

metadata_store::metadata_store(asio::io_context& io, tcp::endpoint listen, promotion_handler promote)
    : m_io{io}
    , m_acceptor{io}
    , m_promote{std::move(promote)} {
    if (auto bound = platform::listen_on(m_acceptor, listen); !bound) {
        throw std::runtime_error{bound.error().message};
    }
    const auto on_accept = [this](tcp::socket socket) {
        asio::co_spawn(m_io, serve(std::move(socket)), asio::detached);
    };
    asio::co_spawn(io, accept_each(m_acceptor, on_accept), asio::detached);
    asio::co_spawn(io, take_snapshots(), asio::detached);
}

asio::awaitable<void> metadata_store::take_snapshots() {
    for (;;) {
        m_snapshots.push_back({boot_clock::now(), m_tables, m_version});
        if (m_snapshots.size() > max_snapshots) {
            m_snapshots.pop_front();
        }
        co_await sleep_for(snapshot_period);
    }
}

void metadata_store::restore_snapshot(std::chrono::milliseconds age) {
    const auto restore_point = boot_clock::now() - age;
    while (m_snapshots.size() > 1 && m_snapshots.back().taken_at > restore_point) {
        m_snapshots.pop_back();
    }
    m_tables = m_snapshots.back().tables;
    m_version = m_snapshots.back().version;
    m_changes.clear();
    ++m_era;
}

std::vector<std::string> metadata_store::keys(const std::string& table) const {
    std::vector<std::string> out;
    if (const auto found = m_tables.find(table); found != m_tables.end()) {
        for (const auto& [key, item] : found->second) {
            out.push_back(key);
        }
    }
    return out;
}

void metadata_store::write(const std::string& table, const std::string& key, std::optional<std::string> value) {
    if (value) {
        m_tables[table][key] = {std::move(*value), m_version};
    } else {
        m_tables[table].erase(key);
    }
    m_changes.push_back({m_version, table, key});
    if (m_changes.size() > max_changes) {
        m_changes.pop_front();
    }
}

void metadata_store::put(const std::string& table, const std::string& key, const std::string& value) {
    ++m_version;
    write(table, key, value);
}

void metadata_store::remove(const std::string& table, const std::string& key) {
    ++m_version;
    write(table, key, std::nullopt);
}

asio::awaitable<void> metadata_store::serve(tcp::socket socket) {
    boost::beast::tcp_stream stream{std::move(socket)};
    boost::beast::flat_buffer buffer;
    for (;;) {
        http_request incoming;
        boost::system::error_code ec;
        co_await http::async_read(stream, buffer, incoming, asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            co_return;
        }
        auto out = co_await handle(incoming);
        if (!out) {
            // A lost response: the connection stays open without further data.
            co_await sleep_for(30s);
            co_return;
        }
        out->set("Store-Era", std::to_string(m_era));
        co_await http::async_write(stream, *out, asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            co_return;
        }
    }
}

asio::awaitable<std::optional<metadata_store::http_response>> metadata_store::handle(const http_request& incoming) {
    const std::string target{incoming.target()};
    if (target == "/promote") {
        co_return handle_promotion(incoming);
    }
    if (faults.delay.count() > 0) {
        co_await sleep_for(faults.delay);
    }
    if (faults.error_status != 0) {
        co_return make_response(faults.error_status, Json::Value{Json::objectValue});
    }
    if (target == "/rows-tx") {
        co_return co_await transact(incoming);
    }
    const auto params = query_parameters(target);
    if (target.starts_with("/rows-feed")) {
        co_return co_await wait_for_changes(params);
    }
    if (target.starts_with("/rows-get")) {
        co_return list_rows(params);
    }
    co_return make_response(404, Json::Value{Json::objectValue});
}

Json::Value metadata_store::encode_row(const std::string& table, const std::string& key) const {
    Json::Value out;
    out["TableName"] = table;
    out["part"] = "";
    out["Key"] = key;
    const auto rows = m_tables.find(table);
    const auto found = rows == m_tables.end() ? table::const_iterator{} : rows->second.find(key);
    if (rows == m_tables.end() || found == rows->second.end()) {
        out["Deleted"] = true;
        return out;
    }
    out["Value"] = encode_base64(found->second.value);
    out["Ver"] = static_cast<Json::UInt64>(found->second.version);
    return out;
}

metadata_store::http_response metadata_store::list_rows(const std::map<std::string, std::string>& params) {
    const auto name = params.at("TableName");
    const auto first_key = params.contains("From") ? params.at("From") : std::string{};
    const auto limit = params.contains("Limit") ? parse_number(params.at("Limit")) : 500;
    Json::Value out;
    out["rows"] = Json::arrayValue;
    for (const auto& [key, item] : m_tables[name]) {
        if (key >= first_key && out["rows"].size() < limit) {
            out["rows"].append(encode_row(name, key));
        }
    }
    out["HasMore"] = false;
    out["Ver"] = static_cast<Json::UInt64>(m_version);
    out["NowMs"] = static_cast<Json::Int64>(to_ms(boot_clock::now() - m_started));
    return make_response(200, out);
}

asio::awaitable<metadata_store::http_response>
metadata_store::wait_for_changes(const std::map<std::string, std::string>& params) {
    const auto name = params.at("TableName");
    const auto after = parse_number(params.at("after"));
    const auto deadline = boot_clock::now() + std::chrono::milliseconds{parse_number(params.at("WaitMs"))};
    for (;;) {
        const bool history_dropped =
            after > m_version || (after < m_version && (m_changes.empty() || m_changes.front().version > after + 1));
        if (history_dropped) {
            co_return make_response(410, Json::Value{Json::objectValue});
        }
        Json::Value out;
        out["rows"] = Json::arrayValue;
        for (const auto& item : m_changes) {
            if (item.version > after && item.table == name) {
                auto row = encode_row(name, item.key);
                row["Ver"] = static_cast<Json::UInt64>(item.version);
                out["rows"].append(std::move(row));
            }
        }
        if (!out["rows"].empty() || boot_clock::now() >= deadline) {
            out["Ver"] = static_cast<Json::UInt64>(m_version);
            out["NowMs"] = static_cast<Json::Int64>(to_ms(boot_clock::now() - m_started));
            co_return make_response(200, out);
        }
        co_await sleep_for(change_poll_interval);
        if (faults.error_status != 0) {
            co_return make_response(faults.error_status, Json::Value{Json::objectValue});
        }
    }
}

bool metadata_store::apply(const Json::Value& body) {
    for (const auto& item : body["ExpectedRev"]) {
        const auto current = encode_row(rpc::text_field(item, "TableName"), rpc::text_field(item, "Key"));
        if (rpc::uint_field(current, "Ver") != rpc::uint_field(item, "Ver")) {
            return false;
        }
    }
    ++m_version;
    for (const auto& item : body["Put"]) {
        write(rpc::text_field(item, "TableName"), rpc::text_field(item, "Key"),
              decode_base64(rpc::text_field(item, "Value")).value_or(""));
    }
    for (const auto& item : body["Remove"]) {
        write(rpc::text_field(item, "TableName"), rpc::text_field(item, "Key"), std::nullopt);
    }
    return true;
}

asio::awaitable<std::optional<metadata_store::http_response>> metadata_store::transact(const http_request& incoming) {
    auto body = rpc::parse_json(incoming.body());
    if (!body) {
        co_return make_response(400, Json::Value{Json::objectValue});
    }
    if (faults.delayed_writes > 0) {
        --faults.delayed_writes;
        co_await sleep_for(1s);
        (void)apply(*body);
        co_return std::nullopt;
    }
    const bool done = apply(*body);
    if (faults.dropped_responses > 0) {
        --faults.dropped_responses;
        co_return std::nullopt;
    }
    Json::Value out;
    out["Ver"] = static_cast<Json::UInt64>(m_version);
    out["NowMs"] = static_cast<Json::Int64>(to_ms(boot_clock::now() - m_started));
    co_return make_response(done ? 200 : 412, out);
}

metadata_store::http_response metadata_store::handle_promotion(const http_request& incoming) {
    const auto body = rpc::parse_json(incoming.body());
    if (!body) {
        return make_response(400, Json::Value{Json::objectValue});
    }
    const auto token = parse_number(std::string{incoming["X-Cornellever-Fencing-Token"]});
    const bool accepted = m_promote(rpc::text_field(*body, "Service"), rpc::text_field(*body, "Id"),
                                    std::string{incoming["X-Cornellever-Duty-Holder"]}, token);
    return make_response(accepted ? 200 : 409, Json::Value{Json::objectValue});
}

} // namespace cornellever::emulator
