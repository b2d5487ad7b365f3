#include "cornellever/bench/session_script.hpp"

#include <fstream>
#include <map>
#include <sstream>

#include "cornellever/rpc/channel.hpp"
#include "cornellever/rpc/envelope.hpp"

namespace cornellever::bench {

namespace {

constexpr auto call_deadline = std::chrono::milliseconds{5000};

Json::Value substitute(const Json::Value& params, const Json::Value& session, const std::string& transaction) {
    Json::Value out = params;
    for (const auto& key : params.getMemberNames()) {
        if (params[key] == "$session") {
            out[key] = session;
        } else if (params[key] == "$transaction") {
            out[key] = transaction;
        }
    }
    return out;
}

} // namespace

result<std::vector<session_step>> read_session_script(const std::filesystem::path& path) {
    std::ifstream in{path};
    if (!in) {
        return fail(errc::bad_request, "cannot read " + path.string());
    }
    std::ostringstream text;
    text << in.rdbuf();
    auto parsed = rpc::parse_json(text.str());
    if (!parsed || !parsed->isArray()) {
        return fail(errc::bad_request, path.string() + ": a session script is a JSON array of steps");
    }
    std::vector<session_step> steps;
    for (const auto& item : *parsed) {
        steps.push_back(session_step{item.get("proxy", 0).asUInt(), item.get("say", "").asString(),
                                     item["method"].asString(), item["params"]});
    }
    return steps;
}

namespace {

asio::awaitable<void> run_steps(const std::vector<session_step>& steps, const std::vector<tcp::endpoint>& proxies,
                                std::vector<exchange>& out) {
    const auto executor = co_await asio::this_coro::executor;
    std::map<tcp::endpoint, std::unique_ptr<rpc::channel>> links;
    Json::Value session{Json::objectValue};
    std::string transaction;
    for (const auto& step : steps) {
        const auto& target = proxies.at(step.proxy % proxies.size());
        auto& link = links[target];
        if (!link || !link->usable()) {
            link = std::make_unique<rpc::channel>(executor, target);
        }
        auto params = substitute(step.params, session, transaction);
        auto answer = co_await link->call(step.method, params, call_deadline);
        exchange item{step.proxy, step.method, params, {}, answer.has_value()};
        if (answer) {
            item.answer = *answer;
            session = answer->get("session", session);
            transaction = answer->get("transaction", transaction).asString();
        } else {
            item.answer["error"] = std::string{to_string(answer.error().code)};
            item.answer["message"] = answer.error().message;
        }
        out.push_back(std::move(item));
    }
}

} // namespace

std::vector<exchange> run_session(const std::vector<session_step>& steps, const std::vector<tcp::endpoint>& proxies) {
    asio::io_context io;
    std::vector<exchange> out;
    asio::co_spawn(io, run_steps(steps, proxies, out), asio::detached);
    io.run();
    return out;
}

Json::Value normalised(const exchange& item) {
    Json::Value out;
    out["proxy"] = static_cast<Json::UInt>(item.proxy);
    out["method"] = item.method;
    out["params"] = item.params;
    out["answer"] = item.answer;
    if (out["params"].isMember("transaction")) {
        out["params"]["transaction"] = "T";
    }
    if (out["answer"].isMember("transaction")) {
        out["answer"]["transaction"] = "T";
    }
    if (out["answer"].isMember("served_by")) {
        out["answer"]["served_by"].removeMember("instance");
        out["answer"]["served_by"].removeMember("zone");
    }
    if (out["answer"].isMember("message")) {
        out["answer"].removeMember("message");
    }
    return out;
}

} // namespace cornellever::bench
