#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>

#include "cornellever/config/model.hpp"
#include "cornellever/core/asio.hpp"
#include "cornellever/core/error.hpp"

namespace cornellever::ctl {

/// The version that the operator's configuration was derived from.
struct expected_base {
    std::uint64_t version{0};
    /// Given on the command line rather than read from the folder. The version in
    /// the folder is ignored when the platform has no configuration yet.
    bool from_command_line{false};
};

/// Writes `config` to the platform's table and returns its new version. The write
/// is a compare-and-set on the applied version, which must be `base`; the first
/// configuration needs no base. When the answer is lost, the row is read back to
/// find out whether the write took effect. Errors: `conflict` when the applied
/// version is not `base` or, with a version applied, no `base` is given;
/// `unavailable` when the platform does not answer.
[[nodiscard]] result<std::uint64_t> apply(const tcp::endpoint& platform, const config::cluster& config,
                                          std::optional<expected_base> base);

/// Reads the applied configuration and its version. Errors: `not_found` when none
/// was ever applied; `unavailable`.
[[nodiscard]] result<config::cluster> fetch(const tcp::endpoint& platform);

/// The configuration version that a proxy uses. Errors: those of the call.
[[nodiscard]] result<std::uint64_t> version_in_force(const tcp::endpoint& proxy);

/// Waits until every proxy uses at least `version` and returns the time that took.
/// Errors: `unavailable`, naming a proxy that did not within `timeout`.
[[nodiscard]] result<std::chrono::milliseconds>
wait_until_in_force(std::span<const tcp::endpoint> proxies, std::uint64_t version, std::chrono::milliseconds timeout);

} // namespace cornellever::ctl
