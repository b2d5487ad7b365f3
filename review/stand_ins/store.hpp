#pragma once

// A stand-in for the platform: its store of rows, and POST /promote.

#include <charconv>
#include <functional>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <jsoncpp/json/json.h>

#include "net.hpp"

namespace review {

namespace http = boost::beast::http;

inline std::string write_json(const Json::Value& value) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

inline Json::Value read_json(const std::string& text) {
    Json::Value out;
    std::istringstream in{text};
    std::string errors;
    Json::parseFromStream(Json::CharReaderBuilder{}, in, &out, &errors);
    return out;
}

inline std::string encode_base64(const std::string& text) {
    static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        const auto byte = [&](std::size_t k) -> unsigned {
            return k < text.size() ? static_cast<unsigned char>(text[k]) : 0U;
        };
        const unsigned group = byte(i) << 16U | byte(i + 1) << 8U | byte(i + 2);
        out += digits[group >> 18U & 63U];
        out += digits[group >> 12U & 63U];
        out += i + 1 < text.size() ? digits[group >> 6U & 63U] : '=';
        out += i + 2 < text.size() ? digits[group & 63U] : '=';
    }
    return out;
}

/// The platform's store. Rows have one version counter, which grows with each transaction.
class platform_store {
public:
    /// Handles POST /promote with service, server, holder and fencing token; returns the HTTP status, or nothing if the
    /// call gets no answer.
    using promote_handler = std::function<std::optional<unsigned>(const std::string&, const std::string&,
                                                                  const std::string&, std::uint64_t)>;

    platform_store(asio::io_context& io, unsigned short port, promote_handler promote)
        : m_io{io}
        , m_acceptor{io, loopback(port)}
        , m_promote{std::move(promote)} {
        asio::co_spawn(io, accept(), asio::detached);
    }

    void put(const std::string& table, const std::string& key, const std::string& value) {
        ++m_version;
        m_tables[table][key] = {encode_base64(value), m_version};
        note(table, key);
    }
    void remove(const std::string& table, const std::string& key) {
        ++m_version;
        m_tables[table].erase(key);
        note(table, key);
    }

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
    using parameters = std::map<std::string, std::string>;

    void note(const std::string& table, const std::string& key) { m_changes.push_back({m_version, table, key}); }

    static std::uint64_t number(const std::string& text) {
        std::uint64_t out = 0;
        std::from_chars(text.data(), text.data() + text.size(), out);
        return out;
    }

    static parameters parameters_of(const std::string& target) {
        parameters out;
        auto at = target.find('?');
        while (at != std::string::npos) {
            const auto end = target.find('&', at + 1);
            const auto item = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            const auto sign = item.find('=');
            out[item.substr(0, sign)] = sign == std::string::npos ? "" : item.substr(sign + 1);
            at = end;
        }
        return out;
    }

    Json::Value encode_row(const std::string& table, const std::string& key) {
        Json::Value out;
        out["TableName"] = table;
        out["part"] = "";
        out["Key"] = key;
        const auto found = m_tables[table].find(key);
        if (found == m_tables[table].end()) {
            out["Deleted"] = true;
        } else {
            out["Value"] = found->second.value;
            out["Ver"] = static_cast<Json::UInt64>(found->second.version);
        }
        return out;
    }

    void stamp(Json::Value& out) const {
        out["Ver"] = static_cast<Json::UInt64>(m_version);
        out["NowMs"] =
            static_cast<Json::Int64>(std::chrono::duration_cast<milliseconds>(clock::now() - m_started).count());
    }

    Json::Value list(parameters wanted) {
        Json::Value out;
        out["rows"] = Json::arrayValue;
        const auto& table = wanted["TableName"];
        const std::size_t limit = wanted.contains("Limit") ? number(wanted["Limit"]) : 500;
        for (const auto& [key, item] : m_tables[table]) {
            if (key >= wanted["From"] && out["rows"].size() < limit) {
                out["rows"].append(encode_row(table, key));
            }
        }
        out["HasMore"] = false;
        stamp(out);
        return out;
    }

    asio::awaitable<Json::Value> feed(parameters wanted) {
        const auto until = clock::now() + milliseconds{number(wanted["WaitMs"])};
        for (;;) {
            Json::Value out;
            out["rows"] = Json::arrayValue;
            for (const auto& item : m_changes) {
                if (item.version > number(wanted["after"]) && item.table == wanted["TableName"]) {
                    auto row = encode_row(item.table, item.key);
                    row["Ver"] = static_cast<Json::UInt64>(item.version);
                    out["rows"].append(row);
                }
            }
            if (!out["rows"].empty() || clock::now() >= until) {
                stamp(out);
                co_return out;
            }
            co_await sleep_for(milliseconds{2});
        }
    }

    bool apply(const Json::Value& body, Json::Value& out) {
        bool matches = true;
        for (const auto& item : body["ExpectedRev"]) {
            const auto row = encode_row(item["TableName"].asString(), item["Key"].asString());
            out["rows"].append(row);
            matches = matches && row["Ver"].asUInt64() == item["Ver"].asUInt64();
        }
        if (!matches) {
            return false;
        }
        ++m_version;
        for (const auto& item : body["Put"]) {
            m_tables[item["TableName"].asString()][item["Key"].asString()] = {item["Value"].asString(), m_version};
            note(item["TableName"].asString(), item["Key"].asString());
        }
        for (const auto& item : body["Remove"]) {
            m_tables[item["TableName"].asString()].erase(item["Key"].asString());
            note(item["TableName"].asString(), item["Key"].asString());
        }
        return true;
    }

    asio::awaitable<void> accept() {
        for (;;) {
            boost::system::error_code ec;
            auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
            if (!ec) {
                asio::co_spawn(m_io, serve(std::move(socket)), asio::detached);
            }
        }
    }

    asio::awaitable<void> serve(tcp::socket socket) {
        boost::beast::tcp_stream stream{std::move(socket)};
        boost::beast::flat_buffer buffer;
        for (;;) {
            http::request<http::string_body> incoming;
            boost::system::error_code ec;
            co_await http::async_read(stream, buffer, incoming, asio::redirect_error(asio::use_awaitable, ec));
            if (ec) {
                co_return;
            }
            co_await sleep_for(answer_time);
            const std::string target{incoming.target()};
            unsigned status = 200;
            Json::Value out{Json::objectValue};
            if (target == "/promote") {
                const auto body = read_json(incoming.body());
                const auto answered = m_promote(body["Service"].asString(), body["Id"].asString(),
                                                std::string{incoming["X-Cornellever-Duty-Holder"]},
                                                number(std::string{incoming["X-Cornellever-Fencing-Token"]}));
                if (!answered) {
                    co_await sleep_for(milliseconds{30'000});
                    co_return;
                }
                status = *answered;
            } else if (target == "/rows-tx") {
                status = apply(read_json(incoming.body()), out) ? 200 : 412;
                stamp(out);
            } else if (target.starts_with("/rows-feed")) {
                auto wanted = parameters_of(target);
                out = co_await feed(std::move(wanted));
            } else if (target.starts_with("/rows-get")) {
                out = list(parameters_of(target));
            } else {
                status = 404;
            }
            http::response<http::string_body> answer{static_cast<http::status>(status), 11};
            answer.keep_alive(true);
            answer.set(http::field::content_type, "application/json");
            answer.body() = write_json(out);
            answer.prepare_payload();
            co_await http::async_write(stream, answer, asio::redirect_error(asio::use_awaitable, ec));
            if (ec) {
                co_return;
            }
        }
    }

    static constexpr milliseconds answer_time{4};

    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    promote_handler m_promote;
    std::map<std::string, std::map<std::string, row>> m_tables;
    std::vector<change> m_changes;
    std::uint64_t m_version{0};
    clock::time_point m_started{clock::now()};
};

} // namespace review
