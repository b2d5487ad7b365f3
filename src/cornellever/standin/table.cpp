#include "cornellever/standin/table.hpp"

namespace cornellever::standin {

std::uint64_t table::version_of(std::string_view key) const {
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? 0 : found->second.version;
}

result<row> table::get(std::string_view key) const {
    const auto found = m_rows.find(key);
    if (found == m_rows.end()) {
        return fail(errc::not_found, "no row '" + std::string{key} + "'");
    }
    return found->second;
}

result<std::uint64_t> table::compare_and_set(std::string_view key, std::uint64_t expected, const Json::Value& value) {
    const row_precondition condition{std::string{key}, expected};
    const row_write write{std::string{key}, value};
    auto versions = transact(std::span{&condition, 1}, std::span{&write, 1});
    if (!versions) {
        return std::unexpected{versions.error()};
    }
    return versions->front();
}

result<std::vector<std::uint64_t>> table::transact(std::span<const row_precondition> checks,
                                                   std::span<const row_write> writes) {
    for (const auto& condition : checks) {
        const auto actual = version_of(condition.key);
        if (actual != condition.version) {
            return fail(errc::conflict, "row '" + condition.key + "' is at version " + std::to_string(actual) +
                                            ", not " + std::to_string(condition.version));
        }
    }
    std::vector<std::uint64_t> versions;
    for (const auto& write : writes) {
        auto& target = m_rows[write.key];
        target.version += 1;
        target.value = write.value;
        versions.push_back(target.version);
    }
    return versions;
}

std::vector<std::pair<std::string, std::uint64_t>> table::list(std::string_view prefix) const {
    std::vector<std::pair<std::string, std::uint64_t>> out;
    for (auto it = m_rows.lower_bound(prefix); it != m_rows.end() && it->first.starts_with(prefix); ++it) {
        out.emplace_back(it->first, it->second.version);
    }
    return out;
}

} // namespace cornellever::standin
