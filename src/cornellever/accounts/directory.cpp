#include "cornellever/accounts/directory.hpp"

#include <utility>

namespace cornellever::accounts {

void directory::add(account item) {
    auto name = item.name;
    m_accounts.insert_or_assign(std::move(name), std::move(item));
}

void directory::add_key(const key_digest& key, std::string_view name) {
    if (m_ambiguous_keys.contains(key)) {
        return;
    }
    const auto [entry, inserted] = m_keys.try_emplace(key, name);
    if (!inserted && entry->second != name) {
        m_keys.erase(entry);
        m_ambiguous_keys.insert(key);
    }
}

const account* directory::find_by_key(const key_digest& key) const {
    const auto found = m_keys.find(key);
    return found == m_keys.end() ? nullptr : find(found->second);
}

const account* directory::find(std::string_view name) const {
    const auto found = m_accounts.find(name);
    return found == m_accounts.end() ? nullptr : &found->second;
}

} // namespace cornellever::accounts
