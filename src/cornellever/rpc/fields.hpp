#pragma once

#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>

#include <jsoncpp/json/value.h>

namespace cornellever::rpc {

// For what other processes say, whose odd content must not end a loop by an
// exception: jsoncpp's own conversions throw for a number out of range.

/// The whole number in `object[name]`, from 0 to `most`; nothing when it is no
/// object, or the field anything else.
[[nodiscard]] inline std::optional<std::uint64_t>
optional_uint_field(const Json::Value& object, const char* name,
                    std::uint64_t most = std::numeric_limits<std::uint64_t>::max()) {
    if (!object.isObject() || !object[name].isUInt64() || object[name].asUInt64() > most) {
        return std::nullopt;
    }
    return object[name].asUInt64();
}

/// As `optional_uint_field`; 0 when there is none.
[[nodiscard]] inline std::uint64_t uint_field(const Json::Value& object, const char* name) {
    return optional_uint_field(object, name).value_or(0);
}

/// The milliseconds in `object[name]`, fractions cut off and at most a day;
/// 0 when it is no object or the field no number from 0 up.
[[nodiscard]] inline std::chrono::milliseconds ms_field(const Json::Value& object, const char* name) {
    constexpr std::chrono::milliseconds longest = std::chrono::hours{24};
    if (!object.isObject() || !object[name].isNumeric()) {
        return std::chrono::milliseconds{0};
    }
    const auto value = object[name].asDouble();
    if (!(value > 0.0)) {
        return std::chrono::milliseconds{0};
    }
    return value < static_cast<double>(longest.count()) ? std::chrono::milliseconds{static_cast<long long>(value)}
                                                        : longest;
}

/// The text in `object[name]`; empty when there is none.
[[nodiscard]] inline std::string text_field(const Json::Value& object, const char* name) {
    if (!object.isObject() || !object[name].isString()) {
        return {};
    }
    return object[name].asString();
}

} // namespace cornellever::rpc
