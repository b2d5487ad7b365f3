#include "cornellever/proxy/request.hpp"

namespace cornellever::proxy {

result<execute_request> decode_execute(const Json::Value& in) {
    execute_request out;
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
    const auto mode = in.get("mode", "write").asString();
    if (mode != "read" && mode != "write") {
        return fail(errc::bad_request, "mode must be read or write, not '" + mode + "'");
    }
    out.mode = mode == "read" ? intent::read : intent::write;
    out.transaction = in.get("transaction", "").asString();
    if (out.transaction.empty() && (!in["service"].isString() || !in["database"].isString())) {
        return fail(errc::bad_request, "execute needs service and database, or a transaction");
    }
    out.service = in.get("service", "").asString();
    out.database = in.get("database", "").asString();
    auto token = token_from_json(in["session"]);
    if (!token) {
        return std::unexpected{token.error()};
    }
    out.session = std::move(*token);
    return out;
}

} // namespace cornellever::proxy
