#include "cornellever/ctl/apply.hpp"

#include <thread>

#include "cornellever/config/json.hpp"
#include "cornellever/core/daemon.hpp"
#include "cornellever/proxy/config_follower.hpp"
#include "cornellever/rpc/channel.hpp"

namespace cornellever::ctl {

namespace {

constexpr auto call_timeout = std::chrono::milliseconds{3000};
constexpr auto poll_interval = std::chrono::milliseconds{20};

result<Json::Value> read_row(const tcp::endpoint& platform) {
    Json::Value params;
    params["key"] = std::string{proxy::config_row};
    return rpc::call_blocking(platform, "table.get", params, call_timeout);
}

result<void> check_base(std::uint64_t applied, std::optional<expected_base> base) {
    const bool nothing_to_overwrite = applied == 0 && !(base && base->from_command_line);
    if (nothing_to_overwrite || (base && base->version == applied)) {
        return {};
    }
    const auto applied_text = "version " + std::to_string(applied) + " is applied";
    if (!base) {
        return fail(errc::conflict, applied_text + ", and this folder does not say which version it was changed from: "
                                                   "fetch the applied one, or name it with --expect-version");
    }
    return fail(errc::conflict,
                applied_text + ", but this folder was changed from version " + std::to_string(base->version));
}

} // namespace

result<std::uint64_t> apply(const tcp::endpoint& platform, const config::cluster& config,
                            std::optional<expected_base> base) {
    std::uint64_t applied = 0;
    auto current = read_row(platform);
    if (current) {
        applied = (*current)["version"].asUInt64();
    } else if (current.error().code != errc::not_found) {
        return std::unexpected{current.error()};
    }
    if (auto checked = check_base(applied, base); !checked) {
        return std::unexpected{checked.error()};
    }
    const auto value = config::to_json(config);
    Json::Value params;
    params["key"] = std::string{proxy::config_row};
    params["value"] = value;
    params["expected_version"] = static_cast<Json::UInt64>(applied);
    auto written = rpc::call_blocking(platform, "table.put", params, call_timeout);
    if (written) {
        return (*written)["version"].asUInt64();
    }
    if (written.error().code != errc::outcome_unknown) {
        return std::unexpected{written.error()};
    }
    // The response was lost, so the write may have taken effect. This is the case
    // if the row now has the written value at the next version.
    auto after = read_row(platform);
    if (after && (*after)["version"].asUInt64() == applied + 1 && (*after)["value"] == value) {
        return applied + 1;
    }
    if (after) {
        return fail(errc::conflict, "the answer was lost and the row is now at version " +
                                        (*after)["version"].asString() + " with another configuration");
    }
    return std::unexpected{written.error()};
}

result<config::cluster> fetch(const tcp::endpoint& platform) {
    auto row = read_row(platform);
    if (!row) {
        return std::unexpected{row.error()};
    }
    auto parsed = config::from_json((*row)["value"]);
    if (parsed) {
        parsed->version = (*row)["version"].asUInt64();
    }
    return parsed;
}

result<std::uint64_t> version_in_force(const tcp::endpoint& proxy) {
    auto dump = rpc::call_blocking(proxy, "dump", Json::Value{Json::objectValue}, call_timeout);
    if (!dump) {
        return std::unexpected{dump.error()};
    }
    return (*dump)["config_version"].asUInt64();
}

result<std::chrono::milliseconds> wait_until_in_force(std::span<const tcp::endpoint> proxies, std::uint64_t version,
                                                      std::chrono::milliseconds timeout) {
    using clock = std::chrono::steady_clock;
    const auto started = clock::now();
    for (const auto& proxy : proxies) {
        for (;;) {
            const auto in_force = version_in_force(proxy);
            if (in_force && *in_force >= version) {
                break;
            }
            if (clock::now() - started > timeout) {
                return fail(errc::unavailable, "proxy " + to_string(proxy) + " does not have version " +
                                                   std::to_string(version) + " in force yet");
            }
            std::this_thread::sleep_for(poll_interval);
        }
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - started);
}

} // namespace cornellever::ctl
