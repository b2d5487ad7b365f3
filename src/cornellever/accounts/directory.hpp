#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "cornellever/accounts/key_digest.hpp"

namespace cornellever::accounts {

/// Maximum rate of an account's operations, for all proxies together.
struct rate_limit {
    /// Sustained rate in operations per second.
    double per_second{0.0};
    /// Number of operations beyond the sustained rate that may arrive at the same time.
    double burst{0.0};

    friend bool operator==(const rate_limit&, const rate_limit&) = default;
};

/// A client account. Backend servers receive the name of the account, never a key.
struct account {
    std::string name;
    /// Order among requests whose databases have the same priority; 0 is served first.
    int priority{0};
    /// The rate limit; empty if the account is not rate-limited.
    std::optional<rate_limit> limit{};

    friend bool operator==(const account&, const account&) = default;
};

/// The accounts of one version of the configuration, indexed by name and by key.
class directory {
public:
    /// Adds an account, or replaces the account of the same name.
    void add(account item);

    /// Maps a key to the account named `name`. A key that is mapped to two accounts is ambiguous and identifies neither
    /// account, because a client of one account could otherwise receive the data of the other.
    void add_key(const key_digest& key, std::string_view name);

    /// Returns the account of a key, or null if the key is unknown or ambiguous, or is mapped to an account that does
    /// not exist.
    [[nodiscard]] const account* find_by_key(const key_digest& key) const;

    /// Returns the account named `name`, or null if there is none.
    [[nodiscard]] const account* find(std::string_view name) const;

    [[nodiscard]] const std::map<std::string, account, std::less<>>& all() const noexcept { return m_accounts; }

    /// Returns the account name of each unambiguous key.
    [[nodiscard]] const std::map<key_digest, std::string>& keys() const noexcept { return m_keys; }

    /// Number of keys that were mapped to more than one account.
    [[nodiscard]] std::size_t ambiguous_keys() const noexcept { return m_ambiguous_keys.size(); }

private:
    std::map<std::string, account, std::less<>> m_accounts;
    std::map<key_digest, std::string> m_keys;
    std::set<key_digest> m_ambiguous_keys;
};

} // namespace cornellever::accounts
