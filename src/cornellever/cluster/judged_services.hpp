#pragma once

#include <concepts>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cornellever::cluster {

/// Returns the services whose primaries this proxy judges: those that it uses (the keys of `used`),
/// and of the other services in `unsettled` those for which `stands_by` returns true. The result is
/// valid as long as both containers are unchanged.
///
/// A proxy that does not use a service knows only the registry entries of its servers. While these
/// are in order, it has no reason to replace the primary, so the work grows with the services that
/// the proxy uses, not with all that exist.
template <typename Observation, std::predicate<const std::string&> StandsBy>
[[nodiscard]] std::vector<std::string_view> judged_services(const std::map<std::string, Observation, std::less<>>& used,
                                                            const std::set<std::string, std::less<>>& unsettled,
                                                            StandsBy stands_by) {
    std::vector<std::string_view> out;
    for (const auto& [service, observation] : used) {
        out.emplace_back(service);
    }
    for (const auto& service : unsettled) {
        if (!used.contains(service) && stands_by(service)) {
            out.emplace_back(service);
        }
    }
    return out;
}

} // namespace cornellever::cluster
