#pragma once

#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>

#include <jsoncpp/json/value.h>

namespace cornellever::rpc {

// Accessors for fields of JSON received from other processes. jsoncpp's own
// conversions throw when a number is out of range; such an exception would end
// the loop that processes the messages of other processes.

/// Returns the integer `object[name]` if it is between 0 and `max_value`;
/// `nullopt` when the field is missing or has another value, or `object` is not
/// an object.
[[nodiscard]] inline std::optional<std::uint64_t>
optional_uint_field(const Json::Value& object, const char* name,
                    std::uint64_t max_value = std::numeric_limits<std::uint64_t>::max()) {
    if (!object.isObject() || !object[name].isUInt64() || object[name].asUInt64() > max_value) {
        return std::nullopt;
    }
    return object[name].asUInt64();
}

/// As `optional_uint_field`, but returns 0 instead of `nullopt`.
[[nodiscard]] inline std::uint64_t uint_field(const Json::Value& object, const char* name) {
    return optional_uint_field(object, name).value_or(0);
}

/// Returns the number `object[name]` as milliseconds, truncated to an integer and
/// capped at 24 hours; 0 when the field is negative, not a number or missing.
[[nodiscard]] inline std::chrono::milliseconds ms_field(const Json::Value& object, const char* name) {
    constexpr std::chrono::milliseconds max_duration = std::chrono::hours{24};
    if (!object.isObject() || !object[name].isNumeric()) {
        return std::chrono::milliseconds{0};
    }
    const auto value = object[name].asDouble();
    if (!(value > 0.0)) {
        return std::chrono::milliseconds{0};
    }
    return value < static_cast<double>(max_duration.count()) ? std::chrono::milliseconds{static_cast<long long>(value)}
                                                             : max_duration;
}

/// Returns the string `object[name]`; empty when the field is missing or not a
/// string.
[[nodiscard]] inline std::string text_field(const Json::Value& object, const char* name) {
    if (!object.isObject() || !object[name].isString()) {
        return {};
    }
    return object[name].asString();
}

} // namespace cornellever::rpc
