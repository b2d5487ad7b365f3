#include "cornellever/session/session_state.hpp"

#include <utility>

namespace cornellever::session {

namespace {

/// Approximate memory of an entry besides its texts, so that many short entries are bounded too.
constexpr std::size_t entry_overhead_bytes = 64;

std::size_t entry_bytes(std::string_view name, std::string_view text) {
    return name.size() + text.size() + entry_overhead_bytes;
}

/// Adds `added` bytes to `stored` in place of `removed`. Returns false if there is no room for them.
bool replace_bytes(std::size_t& stored, std::size_t removed, std::size_t added) {
    const auto next = stored - removed + added;
    if (next > session_state::max_stored_bytes) {
        return false;
    }
    stored = next;
    return true;
}

} // namespace

bool session_state::set_value(const std::string& name, const std::string& value) {
    const auto found = values.find(name);
    const auto removed = found == values.end() ? 0 : entry_bytes(name, found->second);
    if (!replace_bytes(stored_bytes, removed, entry_bytes(name, value))) {
        return false;
    }
    values.insert_or_assign(name, value);
    return true;
}

bool session_state::prepare(const std::string& name, prepared_statement statement) {
    const auto found = prepared.find(name);
    const auto removed = found == prepared.end() ? 0 : entry_bytes(name, found->second.shape);
    if (!replace_bytes(stored_bytes, removed, entry_bytes(name, statement.shape))) {
        return false;
    }
    prepared.insert_or_assign(name, std::move(statement));
    return true;
}

bool session_state::deallocate(std::string_view name) {
    const auto found = prepared.find(name);
    if (found == prepared.end()) {
        return false;
    }
    stored_bytes -= entry_bytes(name, found->second.shape);
    prepared.erase(found);
    return true;
}

} // namespace cornellever::session
