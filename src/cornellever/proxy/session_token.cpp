#include "cornellever/proxy/session_token.hpp"

#include <algorithm>

namespace cornellever::proxy {

write_mark session_token::mark_of(std::string_view database) const {
    const auto found = marks.find(database);
    return found == marks.end() ? write_mark{} : found->second;
}

void session_token::advance(std::string_view database, write_mark mark) {
    auto& current = marks[std::string{database}];
    current = std::max(current, mark);
}

Json::Value to_json(const session_token& token) {
    Json::Value out{Json::objectValue};
    for (const auto& [database, mark] : token.marks) {
        out[database]["term"] = static_cast<Json::UInt64>(mark.term);
        out[database]["position"] = static_cast<Json::UInt64>(mark.position);
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
        const auto& mark = value[database];
        if (!mark.isObject() || !mark["term"].isUInt64() || !mark["position"].isUInt64()) {
            return fail(errc::bad_request, "session entry '" + database + "' needs term and position");
        }
        out.marks[database] = write_mark{mark["term"].asUInt64(), mark["position"].asUInt64()};
    }
    return out;
}

} // namespace cornellever::proxy
