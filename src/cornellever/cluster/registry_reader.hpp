#pragma once

#include <atomic>
#include <concepts>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "cornellever/cluster/table_follower.hpp"
#include "cornellever/core/error.hpp"
#include "cornellever/core/log.hpp"
#include "cornellever/routing/model.hpp"

namespace cornellever::cluster {

/// Decodes the registry from the rows that servers write about themselves. Since anybody can write
/// to this table, a row that cannot be decoded is treated as missing and the other rows are used.
/// The whole table is decoded at every change, so each version of an invalid row is logged only
/// once.
template <std::invocable<std::string_view, std::string_view> Decode>
class registry_reader {
public:
    /// `decode` returns the server described by a row's key and value, or an error that says why
    /// the row is invalid.
    explicit registry_reader(Decode decode) : m_decode{std::move(decode)} {}

    [[nodiscard]] routing::registry read(const table_rows& rows, std::uint64_t version) {
        routing::registry out;
        out.version = version;
        std::map<std::string, std::uint64_t, std::less<>> refused;
        for (const auto& [id, row] : rows) {
            auto decoded = m_decode(id, row.value);
            if (decoded) {
                out.servers.insert_or_assign(id, std::move(*decoded));
                continue;
            }
            const auto known = m_refused.find(id);
            if (known == m_refused.end() || known->second != row.version) {
                ++m_refusals;
                log_event(event::registration_refused,
                          "row=" + std::to_string(row.version) + " reason=\"" + decoded.error().message + "\"");
            }
            refused.emplace(id, row.version);
        }
        m_refused = std::move(refused);
        return out;
    }

    /// Returns the number of row versions rejected so far. Can be called from any thread.
    [[nodiscard]] std::uint64_t refusals() const noexcept { return m_refusals; }

private:
    Decode m_decode;
    /// The rows currently rejected, and their versions.
    std::map<std::string, std::uint64_t, std::less<>> m_refused;
    std::atomic<std::uint64_t> m_refusals{0};
};

} // namespace cornellever::cluster
