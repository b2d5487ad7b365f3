#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>

#include "cornellever/config/model.hpp"
#include "cornellever/core/asio.hpp"
#include "cornellever/core/error.hpp"

namespace cornellever::ctl {

/// The configuration version on which the operator's new configuration is based.
struct expected_base {
    std::uint64_t version{0};
    /// True if the version was given on the command line, false if it was read
    /// from the configuration folder. A version from the folder is ignored when
    /// the platform (the external service that keeps the configuration and the list
    /// of VMs) has no configuration yet.
    bool from_command_line{false};
};

/// Writes `config` to the platform's table and returns the new version of the
/// configuration. The write is a compare-and-set, which requires that `base` is
/// still the applied version; the first configuration needs no base. When the
/// response is lost, the row is read back to find out whether the write took
/// effect. Errors: `conflict` when the applied version is not `base`, or a
/// version is applied and no `base` is given; `unavailable` when the platform
/// does not respond.
[[nodiscard]] result<std::uint64_t> apply(const tcp::endpoint& platform, const config::cluster& config,
                                          std::optional<expected_base> base);

/// Reads the applied configuration and its version. Errors: `not_found` when no
/// configuration was ever applied; `unavailable`.
[[nodiscard]] result<config::cluster> fetch(const tcp::endpoint& platform);

/// Returns the configuration version that a proxy uses. Errors: those of the RPC
/// call.
[[nodiscard]] result<std::uint64_t> version_in_force(const tcp::endpoint& proxy);

/// Waits until every proxy uses at least `version` and returns how long this
/// took. Errors: `unavailable`, naming a proxy that did not use this version
/// within `timeout`.
[[nodiscard]] result<std::chrono::milliseconds>
wait_until_in_force(std::span<const tcp::endpoint> proxies, std::uint64_t version, std::chrono::milliseconds timeout);

} // namespace cornellever::ctl
