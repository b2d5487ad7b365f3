#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <jsoncpp/json/value.h>

#include "cornellever/core/error.hpp"

namespace cornellever::proxy {

/// Whether a failover is promoting a new primary or the recorded primary is in place.
enum class group_phase { promoting, settled };

/// The row of a database in the platform's table, a key-value store with versioned rows. The platform is the external
/// service that keeps the configuration and the list of VMs. A proxy allocates a term by writing the row with a
/// higher term by compare-and-set: if several proxies try concurrently, exactly one succeeds. The term is the fencing
/// token: instances that have accepted it refuse older terms.
struct group_record {
    std::uint64_t term{0};
    group_phase phase{group_phase::settled};
    /// Key of the primary of `term`; empty while a primary is being promoted.
    std::string primary;
    /// The proxy that claimed the term (reserved it for a promotion), and an identifier unique to the claim. If the
    /// response to its write is lost, the proxy reads the row and recognises its claim by this identifier.
    std::string holder;
    std::string claim;

    friend bool operator==(const group_record&, const group_record&) = default;
};

/// Returns the table key of the record of `database` (`service/database`).
[[nodiscard]] std::string group_record_key(std::string_view database);

/// Returns the record as it is stored.
[[nodiscard]] Json::Value to_json(const group_record& record);

/// Parses a stored record. Errors: `bad_request` naming the field.
[[nodiscard]] result<group_record> group_record_from_json(const Json::Value& value);

} // namespace cornellever::proxy
