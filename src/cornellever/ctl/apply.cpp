#include "cornellever/ctl/apply.hpp"

#include "cornellever/config/json.hpp"
#include "cornellever/proxy/control.hpp"
#include "cornellever/rpc/channel.hpp"

namespace cornellever::ctl {

namespace {

constexpr auto deadline = std::chrono::milliseconds{3000};

result<Json::Value> read_row(const tcp::endpoint& platform) {
    Json::Value params;
    params["key"] = std::string{proxy::config_row};
    return rpc::call_blocking(platform, "table.get", params, deadline);
}

} // namespace

result<std::uint64_t> apply(const tcp::endpoint& platform, const config::cluster& config,
                            std::optional<std::uint64_t> expected) {
    std::uint64_t base = 0;
    auto current = read_row(platform);
    if (current) {
        base = (*current)["version"].asUInt64();
    } else if (current.error().code != errc::not_found) {
        return std::unexpected{current.error()};
    }
    if (expected && *expected != base) {
        return fail(errc::conflict, "the applied configuration is at version " + std::to_string(base) +
                                        ", not the expected " + std::to_string(*expected));
    }
    const auto value = config::to_json(config);
    Json::Value params;
    params["key"] = std::string{proxy::config_row};
    params["value"] = value;
    params["expected_version"] = static_cast<Json::UInt64>(base);
    auto written = rpc::call_blocking(platform, "table.put", params, deadline);
    if (written) {
        return (*written)["version"].asUInt64();
    }
    if (written.error().code != errc::outcome_unknown) {
        return std::unexpected{written.error()};
    }
    // The answer was lost: the write may have taken effect. Read the row
    // back; our value one version on means it did.
    auto after = read_row(platform);
    if (after && (*after)["version"].asUInt64() == base + 1 && (*after)["value"] == value) {
        return base + 1;
    }
    if (after) {
        return fail(errc::conflict, "the answer was lost and the row is now at version " +
                                        (*after)["version"].asString() + " with another configuration");
    }
    return std::unexpected{written.error()};
}

} // namespace cornellever::ctl
