#pragma once

#include "cornellever/core/daemon.hpp"
#include "cornellever/proxy/confirmer.hpp"
#include "cornellever/rpc/server.hpp"

namespace cornellever::test {

/// A replica whose log ends at `received`.
struct fake_replica {
    explicit fake_replica(asio::io_context& io) : server{io.get_executor()} {
        server.on("await_received", [this](const Json::Value& in, rpc::connection&) { return confirm(in); });
        self = {"r", server.listen(tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0}).value()};
        server.start();
    }

    asio::awaitable<result<Json::Value>> confirm(const Json::Value& in) {
        ++polls;
        const auto requested = proxy::term_position{in["term"].asUInt64(), in["position"].asUInt64()};
        if (requested.term < received.term) {
            co_return fail(errc::fenced, "keeps a later term");
        }
        if (requested > received) {
            co_await sleep_for(std::chrono::milliseconds{10});
            co_return fail(errc::behind, "not received");
        }
        Json::Value out;
        out["received"] = static_cast<Json::UInt64>(received.position);
        co_return out;
    }

    rpc::server server;
    proxy::confirming_replica self;
    proxy::term_position received;
    std::size_t polls{0};
};

} // namespace cornellever::test
