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

constexpr auto feed_step = 10ms;
constexpr std::size_t kept_history = 400;
constexpr auto copy_period = 200ms;
constexpr std::size_t kept_copies = 100;

std::uint64_t number_in(const std::string& text) {
    std::uint64_t out = 0;
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

std::map<std::string, std::string> parameters_of(std::string target) {
    std::map<std::string, std::string> out;
    auto at = target.find('?');
    while (at != std::string::npos) {
        const auto end = target.find('&', at + 1);
        const auto item = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        const auto equals = item.find('=');
        out[item.substr(0, equals)] = equals == std::string::npos ? "" : item.substr(equals + 1);
        at = end;
    }
    return out;
}

http::response<http::string_body> reply(unsigned status, const Json::Value& body) {
    http::response<http::string_body> out{static_cast<http::status>(status), 11};
    out.keep_alive(true);
    out.set(http::field::content_type, "application/json");
    out.body() = rpc::to_text(body);
    out.prepare_payload();
    return out;
}

} // namespace

metadata_store::metadata_store(asio::io_context& io, tcp::endpoint listen, on_order order)
    : m_io{io}
    , m_acceptor{io}
    , m_order{std::move(order)} {
    if (auto bound = platform::listen_on(m_acceptor, listen); !bound) {
        throw std::runtime_error{bound.error().message};
    }
    const auto take = [this](tcp::socket socket) { asio::co_spawn(m_io, serve(std::move(socket)), asio::detached); };
    asio::co_spawn(io, accept_each(m_acceptor, take), asio::detached);
    asio::co_spawn(io, make_copies(), asio::detached);
}

asio::awaitable<void> metadata_store::make_copies() {
    for (;;) {
        m_copies.push_back({boot_clock::now(), m_tables, m_version});
        if (m_copies.size() > kept_copies) {
            m_copies.pop_front();
        }
        co_await sleep_for(copy_period);
    }
}

void metadata_store::return_from_copy(std::chrono::milliseconds age) {
    const auto wanted = boot_clock::now() - age;
    while (m_copies.size() > 1 && m_copies.back().made_at > wanted) {
        m_copies.pop_back();
    }
    m_tables = m_copies.back().tables;
    m_version = m_copies.back().version;
    m_history.clear();
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
    m_history.push_back({m_version, table, key});
    if (m_history.size() > kept_history) {
        m_history.pop_front();
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
        question asked;
        boost::system::error_code ec;
        co_await http::async_read(stream, buffer, asked, asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            co_return;
        }
        auto out = co_await handle(asked);
        if (!out) {
            // Nothing comes on this connection any more, and nothing says so.
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

asio::awaitable<std::optional<metadata_store::answer>> metadata_store::handle(const question& asked) {
    const std::string target{asked.target()};
    if (target == "/promote") {
        co_return order(asked);
    }
    if (faults.delay.count() > 0) {
        co_await sleep_for(faults.delay);
    }
    if (faults.refuse_with != 0) {
        co_return reply(faults.refuse_with, Json::Value{Json::objectValue});
    }
    if (target == "/rows-tx") {
        co_return co_await transact(asked);
    }
    const auto params = parameters_of(target);
    if (target.starts_with("/rows-feed")) {
        co_return co_await feed(params);
    }
    if (target.starts_with("/rows-get")) {
        co_return list(params);
    }
    co_return reply(404, Json::Value{Json::objectValue});
}

Json::Value metadata_store::encoded(const std::string& table, const std::string& key) const {
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

metadata_store::answer metadata_store::list(const std::map<std::string, std::string>& params) {
    const auto name = params.at("TableName");
    const auto from = params.contains("From") ? params.at("From") : std::string{};
    const auto limit = params.contains("Limit") ? number_in(params.at("Limit")) : 500;
    Json::Value out;
    out["rows"] = Json::arrayValue;
    for (const auto& [key, item] : m_tables[name]) {
        if (key >= from && out["rows"].size() < limit) {
            out["rows"].append(encoded(name, key));
        }
    }
    out["HasMore"] = false;
    out["Ver"] = static_cast<Json::UInt64>(m_version);
    out["NowMs"] = static_cast<Json::Int64>(to_ms(boot_clock::now() - m_started));
    return reply(200, out);
}

asio::awaitable<metadata_store::answer> metadata_store::feed(const std::map<std::string, std::string>& params) {
    const auto name = params.at("TableName");
    const auto after = number_in(params.at("after"));
    const auto until = boot_clock::now() + std::chrono::milliseconds{number_in(params.at("WaitMs"))};
    for (;;) {
        const bool gone =
            after > m_version || (after < m_version && (m_history.empty() || m_history.front().version > after + 1));
        if (gone) {
            co_return reply(410, Json::Value{Json::objectValue});
        }
        Json::Value out;
        out["rows"] = Json::arrayValue;
        for (const auto& item : m_history) {
            if (item.version > after && item.table == name) {
                auto row = encoded(name, item.key);
                row["Ver"] = static_cast<Json::UInt64>(item.version);
                out["rows"].append(std::move(row));
            }
        }
        if (!out["rows"].empty() || boot_clock::now() >= until) {
            out["Ver"] = static_cast<Json::UInt64>(m_version);
            out["NowMs"] = static_cast<Json::Int64>(to_ms(boot_clock::now() - m_started));
            co_return reply(200, out);
        }
        co_await sleep_for(feed_step);
        if (faults.refuse_with != 0) {
            co_return reply(faults.refuse_with, Json::Value{Json::objectValue});
        }
    }
}

bool metadata_store::apply(const Json::Value& body) {
    for (const auto& item : body["ExpectedRev"]) {
        const auto now = encoded(rpc::text_field(item, "TableName"), rpc::text_field(item, "Key"));
        if (rpc::uint_field(now, "Ver") != rpc::uint_field(item, "Ver")) {
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

asio::awaitable<std::optional<metadata_store::answer>> metadata_store::transact(const question& asked) {
    auto body = rpc::parse_json(asked.body());
    if (!body) {
        co_return reply(400, Json::Value{Json::objectValue});
    }
    if (faults.late_writes > 0) {
        --faults.late_writes;
        co_await sleep_for(1s);
        (void)apply(*body);
        co_return std::nullopt;
    }
    const bool done = apply(*body);
    if (faults.lose_answers > 0) {
        --faults.lose_answers;
        co_return std::nullopt;
    }
    Json::Value out;
    out["Ver"] = static_cast<Json::UInt64>(m_version);
    out["NowMs"] = static_cast<Json::Int64>(to_ms(boot_clock::now() - m_started));
    co_return reply(done ? 200 : 412, out);
}

metadata_store::answer metadata_store::order(const question& asked) {
    const auto body = rpc::parse_json(asked.body());
    if (!body) {
        return reply(400, Json::Value{Json::objectValue});
    }
    const auto token = number_in(std::string{asked["X-Cornellever-Fencing-Token"]});
    const bool taken = m_order(rpc::text_field(*body, "Service"), rpc::text_field(*body, "Id"),
                               std::string{asked["X-Cornellever-Duty-Holder"]}, token);
    return reply(taken ? 200 : 409, Json::Value{Json::objectValue});
}

} // namespace cornellever::emulator
