#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "cornellever/cluster/table_follower.hpp"
#include "cornellever/core/log.hpp"
#include "cornellever/routing/model.hpp"

namespace cornellever::cluster {

/// Decodes the configuration from one row of a table that the operators write. Each version of that
/// row is decoded, or rejected, only once: decoding a configuration of many databases is slow, and
/// changes to the table's other rows must not repeat it.
template <std::invocable<std::string_view> Decode>
class configuration_reader {
public:
    /// `key` is the key of the configuration's row. `decode` returns the configuration held by a
    /// row's value, or an error that says why the value is invalid.
    configuration_reader(std::string_view key, Decode decode) : m_key{key}, m_decode{std::move(decode)} {}

    /// Passes the configuration to `apply` if its row changed since the last call and is valid.
    /// Returns whether the current version of the row is valid, or nullopt if there is no such row.
    template <std::invocable<routing::configuration> Apply>
    std::optional<bool> read(const table_rows& rows, Apply apply) {
        const auto row = rows.find(m_key);
        if (row == rows.end()) {
            return std::nullopt;
        }
        if (row->second.version == m_decoded_version) {
            return m_accepted;
        }
        auto decoded = m_decode(row->second.value);
        m_accepted = decoded.has_value();
        if (m_accepted) {
            apply(std::move(*decoded));
        } else {
            log_event(event::config_refused,
                      "row=" + std::to_string(row->second.version) + " reason=\"" + decoded.error().message + "\"");
        }
        m_decoded_version = row->second.version;
        return m_accepted;
    }

private:
    std::string m_key;
    Decode m_decode;
    std::uint64_t m_decoded_version{0};
    bool m_accepted{false};
};

} // namespace cornellever::cluster
