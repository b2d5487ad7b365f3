#include "cornellever/proxy/session_token.hpp"

#include <algorithm>

namespace cornellever::proxy {

term_position session_token::last_write_to(std::string_view database) const {
    const auto found = last_writes.find(database);
    return found == last_writes.end() ? term_position{} : found->second;
}

void session_token::advance(std::string_view database, term_position last_write) {
    auto& current = last_writes[std::string{database}];
    current = std::max(current, last_write);
}

Json::Value to_json(const session_token& token) {
    Json::Value out{Json::objectValue};
    for (const auto& [database, last_write] : token.last_writes) {
        out[database]["term"] = static_cast<Json::UInt64>(last_write.term);
        out[database]["position"] = static_cast<Json::UInt64>(last_write.position);
    }
    return out;
}

result<session_token> token_from_json(const Json::Value& value) {
    session_token out;
    if (value.isNull()) {
        return out;
    }
    if (!value.isObject()) {
        return fail(errc::bad_request, "session must be the token from an earlier answer");
    }
    for (const auto& database : value.getMemberNames()) {
        const auto& last_write = value[database];
        if (!last_write.isObject() || !last_write["term"].isUInt64() || !last_write["position"].isUInt64()) {
            return fail(errc::bad_request, "session entry '" + database + "' needs term and position");
        }
        out.last_writes[database] = term_position{last_write["term"].asUInt64(), last_write["position"].asUInt64()};
    }
    return out;
}

} // namespace cornellever::proxy
