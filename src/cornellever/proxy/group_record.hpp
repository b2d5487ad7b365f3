#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <jsoncpp/json/value.h>

#include "cornellever/core/error.hpp"

namespace cornellever::proxy {

/// Progress of a failover: a new primary is being promoted, or the recorded one is in place.
enum class group_phase { promoting, settled };

/// A database's row in the platform's table. A term is allocated by writing the row with a higher term by
/// compare-and-set: of several proxies that try, exactly one succeeds. The term is the fencing token against holders
/// of older terms.
struct group_record {
    std::uint64_t term{0};
    group_phase phase{group_phase::settled};
    /// Key of the primary of `term`; empty while promoting.
    std::string primary;
    /// The proxy that claimed the term, and a value unique to its claim, by which it recognises its own write if the
    /// answer was lost.
    std::string holder;
    std::string claim;

    friend bool operator==(const group_record&, const group_record&) = default;
};

/// The table key of the record of `database` (`service/database`).
[[nodiscard]] std::string group_record_key(std::string_view database);

/// The record as stored.
[[nodiscard]] Json::Value to_json(const group_record& record);

/// Reads a stored record. Errors: `bad_request` naming the field.
[[nodiscard]] result<group_record> group_record_from_json(const Json::Value& value);

} // namespace cornellever::proxy
