#pragma once

#include <cstdint>
#include <string>

#include <jsoncpp/json/value.h>

namespace cornellever::rpc {

/// The number in `object[name]`; 0 when it is no object or the field no
/// whole number. For answers of other processes, whose odd content must not
/// end a loop by an exception.
[[nodiscard]] inline std::uint64_t uint_field(const Json::Value& object, const char* name) {
    if (!object.isObject() || !object[name].isUInt64()) {
        return 0;
    }
    return object[name].asUInt64();
}

/// The text in `object[name]`; empty when there is none.
[[nodiscard]] inline std::string text_field(const Json::Value& object, const char* name) {
    if (!object.isObject() || !object[name].isString()) {
        return {};
    }
    return object[name].asString();
}

} // namespace cornellever::rpc
