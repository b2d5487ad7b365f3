#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>

#include "cornellever/config/model.hpp"
#include "cornellever/core/asio.hpp"
#include "cornellever/core/error.hpp"

namespace cornellever::ctl {

/// The version a configuration was changed from.
struct change_base {
    std::uint64_t version{0};
    /// Named on the command line, rather than read from the folder. A folder
    /// may go to a platform that has no configuration yet, whatever it says.
    bool named{false};
};

/// Writes `config` to the platform's table by compare-and-set over version
/// `base`, the one the operator changed; none is needed for the first. An answer
/// lost after the write took effect is recognised by reading the row back.
/// Errors: `conflict` when another version is applied, or one is and `base`
/// is not given; `unavailable` when the platform did not answer.
[[nodiscard]] result<std::uint64_t> apply(const tcp::endpoint& platform, const config::cluster& config,
                                          std::optional<change_base> base);

/// The applied configuration with its version. Errors: `not_found` when
/// none was ever applied; `unavailable`.
[[nodiscard]] result<config::cluster> fetch(const tcp::endpoint& platform);

/// The version a proxy has in force. Errors: those of the call.
[[nodiscard]] result<std::uint64_t> version_in_force(const tcp::endpoint& proxy);

/// Waits until every proxy has at least `version` in force, and returns how
/// long that took. Errors: `unavailable` naming the proxy that had not after
/// `limit`.
[[nodiscard]] result<std::chrono::milliseconds> await_in_force(std::span<const tcp::endpoint> proxies,
                                                               std::uint64_t version, std::chrono::milliseconds limit);

} // namespace cornellever::ctl
