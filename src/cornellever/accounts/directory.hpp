#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "cornellever/accounts/key_digest.hpp"

namespace cornellever::accounts {

/// Maximum rate of an account's operations, over all proxies together.
struct rate_limit {
    /// Sustained rate in operations per second.
    double per_second{0.0};
    /// Operations beyond the sustained rate that may come at once.
    double burst{0.0};

    friend bool operator==(const rate_limit&, const rate_limit&) = default;
};

/// A client account. Backend servers receive its name, never a key.
struct account {
    std::string name;
    /// Order among requests of the same priority: 0 is served first.
    int priority{0};
    /// Nothing when the account is not rate-limited.
    std::optional<rate_limit> limit{};

    friend bool operator==(const account&, const account&) = default;
};

/// The accounts of one version of the configuration, by name and by key.
class directory {
public:
    /// Adds an account, or replaces the account of the same name.
    void add(account item);

    /// Maps a key to the account named `name`. A key that is mapped to two accounts identifies neither: its sender
    /// could otherwise be given the other account's data.
    void add_key(const key_digest& key, std::string_view name);

    /// The account of a key; null when the key is unknown or ambiguous, or names an account that does not exist.
    [[nodiscard]] const account* find_by_key(const key_digest& key) const;

    /// The account named `name`, or null.
    [[nodiscard]] const account* find(std::string_view name) const;

    [[nodiscard]] const std::map<std::string, account, std::less<>>& all() const noexcept { return m_accounts; }

    /// The account name of each unambiguous key.
    [[nodiscard]] const std::map<key_digest, std::string>& keys() const noexcept { return m_keys; }

    /// Number of keys that were mapped to more than one account.
    [[nodiscard]] std::size_t ambiguous_keys() const noexcept { return m_ambiguous_keys.size(); }

private:
    std::map<std::string, account, std::less<>> m_accounts;
    std::map<key_digest, std::string> m_keys;
    std::set<key_digest> m_ambiguous_keys;
};

} // namespace cornellever::accounts
