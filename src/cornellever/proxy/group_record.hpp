#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <jsoncpp/json/value.h>

#include "cornellever/core/error.hpp"

namespace cornellever::proxy {

/// Where the change of a database's primary stands.
enum class group_phase { promoting, settled };

/// A database's row in the platform's table. Writing it by compare-and-set
/// with a higher term is what allots a term: of several proxies that try,
/// exactly one gets it, and the term then fences whoever had an older one.
struct group_record {
    std::uint64_t term{0};
    group_phase phase{group_phase::settled};
    /// Key of the instance that leads `term`; empty while promoting.
    std::string primary;
    /// The proxy that claimed the term, and a value unique to its claim, by
    /// which it recognises its own write when the answer was lost.
    std::string holder;
    std::string claim;

    friend bool operator==(const group_record&, const group_record&) = default;
};

/// The table key of the record of `database` (`service/database`).
[[nodiscard]] std::string group_row(std::string_view database);

/// The record as stored.
[[nodiscard]] Json::Value to_json(const group_record& record);

/// Reads a stored record. Errors: `bad_request` naming the field.
[[nodiscard]] result<group_record> group_record_from_json(const Json::Value& value);

} // namespace cornellever::proxy
