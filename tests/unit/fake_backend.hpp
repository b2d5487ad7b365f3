#pragma once

#include <set>
#include <string>

#include "cornellever/config/model.hpp"
#include "cornellever/core/daemon.hpp"
#include "cornellever/proxy/topology.hpp"
#include "cornellever/rpc/server.hpp"

namespace cornellever::test {

/// A backend that records the connection of each statement and whether a transaction was open on it.
class fake_backend {
public:
    explicit fake_backend(asio::io_context& io) : m_server{io.get_executor()} {
        m_server.on("begin", [this](const Json::Value&, rpc::connection& conn) { return begin(conn); });
        m_server.on("execute", [this](const Json::Value& in, rpc::connection& conn) { return execute(in, conn); });
        m_server.on("terminate", [this](const Json::Value& in, rpc::connection&) { return terminate(in); });
        m_server.on("rollback", [this](const Json::Value&, rpc::connection& conn) { return rollback(conn); });
        address = m_server.listen(tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0}).value();
        m_server.start();
    }

    tcp::endpoint address;
    /// Connections with an open transaction.
    std::set<std::uint64_t> open;
    /// The connection of the last statement, and whether it was inside a transaction.
    std::uint64_t last_connection{0};
    bool last_in_transaction{false};
    /// Statements on connections up to this id get no answer.
    std::uint64_t unanswered_up_to{0};

private:
    asio::awaitable<result<Json::Value>> begin(rpc::connection& conn) {
        open.insert(conn.id);
        Json::Value out;
        out["session"] = static_cast<Json::UInt64>(conn.id);
        co_return out;
    }

    asio::awaitable<result<Json::Value>> terminate(const Json::Value& in) {
        open.erase(in["session"].asUInt64());
        co_return Json::Value{Json::objectValue};
    }

    asio::awaitable<result<Json::Value>> rollback(rpc::connection& conn) {
        open.erase(conn.id);
        co_return Json::Value{Json::objectValue};
    }

    asio::awaitable<result<Json::Value>> execute(const Json::Value& in, rpc::connection& conn) {
        last_connection = conn.id;
        last_in_transaction = open.contains(conn.id);
        conn.stop_answering = conn.id <= unanswered_up_to;
        if (in["sql"] == "BEGIN") {
            open.insert(conn.id);
        }
        Json::Value out;
        out["in_transaction"] = open.contains(conn.id);
        out["rows"] = Json::arrayValue;
        co_return out;
    }

    rpc::server m_server;
};

/// One service with one database whose only instance is at `address`.
inline config::cluster one_instance(const tcp::endpoint& address) {
    config::cluster out;
    out.version = 1;
    config::service service;
    service.name = "stockbook";
    service.databases.push_back({"orders", {{"walu", "walu", to_string(address), 2}}});
    out.services.push_back(service);
    return out;
}

inline proxy::heartbeat primary_heartbeat(std::uint64_t term = 1) {
    proxy::heartbeat out;
    out.key = "stockbook/orders/walu";
    out.answered = true;
    out.primary = true;
    out.term = term;
    return out;
}

} // namespace cornellever::test
