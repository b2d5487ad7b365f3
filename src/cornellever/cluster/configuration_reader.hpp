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

/// Makes the configuration of the operators' row. Their table has other rows
/// too, and a configuration of many databases takes long to decode: a version
/// of the row is decoded, or refused, once.
template <std::invocable<std::string_view> Decode>
class configuration_reader {
public:
    /// `key` names the row; `decode` makes a configuration of its value, or says
    /// what is wrong.
    configuration_reader(std::string_view key, Decode decode) : m_key{key}, m_decode{std::move(decode)} {}

    /// Hands the configuration to `take` where its row changed. Whether the row
    /// holds a configuration that was taken; nothing when there is no row.
    template <std::invocable<routing::configuration> Take>
    std::optional<bool> read(const table_rows& rows, Take take) {
        const auto row = rows.find(m_key);
        if (row == rows.end()) {
            return std::nullopt;
        }
        if (row->second.version == m_read) {
            return m_taken;
        }
        auto decoded = m_decode(row->second.value);
        m_taken = decoded.has_value();
        if (m_taken) {
            take(std::move(*decoded));
        } else {
            log_event(event::config_refused,
                      "row=" + std::to_string(row->second.version) + " reason=\"" + decoded.error().message + "\"");
        }
        m_read = row->second.version;
        return m_taken;
    }

private:
    std::string m_key;
    Decode m_decode;
    std::uint64_t m_read{0};
    bool m_taken{false};
};

} // namespace cornellever::cluster
