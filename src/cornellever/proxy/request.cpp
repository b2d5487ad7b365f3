#include "cornellever/proxy/request.hpp"

namespace cornellever::proxy {

namespace {

constexpr std::size_t max_name_bytes = 200;
constexpr std::int64_t max_deadline_ms = 60'000;

/// Reads the string field `field`, which may be missing and has a maximum length, into `out`.
result<void> read_name(const Json::Value& in, const char* field, std::string& out) {
    if (!in.isMember(field)) {
        return {};
    }
    if (!in[field].isString()) {
        return fail(errc::bad_request, std::string{field} + " must be a string");
    }
    out = in[field].asString();
    if (out.size() > max_name_bytes) {
        return fail(errc::bad_request, std::string{field} + " is longer than " + std::to_string(max_name_bytes));
    }
    return {};
}

result<void> read_deadline(const Json::Value& in, std::chrono::milliseconds& out) {
    if (!in.isMember("deadline_ms")) {
        return {};
    }
    const auto& value = in["deadline_ms"];
    if (!value.isInt64() || value.asInt64() < 1 || value.asInt64() > max_deadline_ms) {
        return fail(errc::bad_request,
                    "deadline_ms must be a whole number from 1 to " + std::to_string(max_deadline_ms));
    }
    out = std::chrono::milliseconds{value.asInt64()};
    return {};
}

result<void> read_session(const Json::Value& in, session_token& out) {
    auto token = token_from_json(in["session"]);
    if (!token) {
        return std::unexpected{token.error()};
    }
    out = std::move(*token);
    return {};
}

/// Calls the steps in order until one fails, and returns the result of the last step called.
template <typename... Steps>
result<void> in_order(Steps... steps) {
    result<void> out;
    (void)((out = steps()).has_value() && ...);
    return out;
}

/// Reads the fields common to `execute` and `begin`: the service and database, the kind and id of the request, its
/// deadline and its session token.
template <typename Request>
result<void> read_addressing(const Json::Value& in, Request& out) {
    return in_order(
        [&] { return read_name(in, "service", out.service); }, [&] { return read_name(in, "database", out.database); },
        [&] { return read_name(in, "kind", out.kind); }, [&] { return read_name(in, "request_id", out.request_id); },
        [&] { return read_deadline(in, out.deadline); }, [&] { return read_session(in, out.session); });
}

result<void> read_statement(const Json::Value& in, execute_request& out) {
    if (!in["sql"].isString()) {
        return fail(errc::bad_request, "execute needs sql (a string)");
    }
    out.sql = in["sql"].asString();
    if (in.isMember("params") && !in["params"].isArray()) {
        return fail(errc::bad_request, "params must be an array");
    }
    if (in.isMember("params")) {
        out.params = in["params"];
    }
    std::string mode = "write";
    if (auto named = read_name(in, "mode", mode); !named) {
        return named;
    }
    if (mode != "read" && mode != "write") {
        return fail(errc::bad_request, "mode must be read or write, not '" + mode + "'");
    }
    out.mode = mode == "read" ? intent::read : intent::write;
    return read_name(in, "transaction", out.transaction);
}

} // namespace

result<execute_request> decode_execute(const Json::Value& in) {
    execute_request out;
    auto read = in_order([&] { return read_statement(in, out); }, [&] { return read_addressing(in, out); });
    if (!read) {
        return std::unexpected{read.error()};
    }
    if (out.transaction.empty() && (out.service.empty() || out.database.empty())) {
        return fail(errc::bad_request, "execute needs service and database, or a transaction");
    }
    return out;
}

result<begin_request> decode_begin(const Json::Value& in) {
    begin_request out;
    auto read = read_addressing(in, out);
    if (!read) {
        return std::unexpected{read.error()};
    }
    if (out.service.empty() || out.database.empty()) {
        return fail(errc::bad_request, "begin needs service and database");
    }
    return out;
}

result<finish_request> decode_finish(const Json::Value& in) {
    finish_request out;
    auto read = in_order([&] { return read_name(in, "transaction", out.transaction); },
                         [&] { return read_session(in, out.session); });
    if (!read) {
        return std::unexpected{read.error()};
    }
    if (out.transaction.empty()) {
        return fail(errc::bad_request, "transaction must name the open transaction");
    }
    return out;
}

} // namespace cornellever::proxy
