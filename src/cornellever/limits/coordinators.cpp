#include "cornellever/limits/coordinators.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "cornellever/core/stable_hash.hpp"

namespace cornellever::limits {

std::vector<std::size_t> choose_coordinators(std::string_view account, std::size_t number,
                                             std::span<const std::string> proxies) {
    std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
    ranked.reserve(proxies.size());
    for (std::size_t index = 0; index < proxies.size(); ++index) {
        ranked.emplace_back(stable_hash({account, "/", proxies[index]}), index);
    }
    const auto count = static_cast<std::ptrdiff_t>(std::min(number, ranked.size()));
    std::ranges::partial_sort(ranked, ranked.begin() + count);
    std::vector<std::size_t> out;
    for (std::ptrdiff_t rank = 0; rank < count; ++rank) {
        out.push_back(ranked[static_cast<std::size_t>(rank)].second);
    }
    return out;
}

} // namespace cornellever::limits
