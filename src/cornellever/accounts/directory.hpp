#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "cornellever/accounts/key_digest.hpp"

namespace cornellever::accounts {

/// How many operations an account may run, over all proxies together.
struct rate_limit {
    double per_second{0.0};
    /// Operations beyond that which may come at once.
    double burst{0.0};

    friend bool operator==(const rate_limit&, const rate_limit&) = default;
};

/// A client account. Backend servers are told its name, never a key.
struct account {
    std::string name;
    /// 0 is served first, among requests of the same priority.
    int priority{0};
    /// Nothing where the account may send what it likes.
    std::optional<rate_limit> limit{};

    friend bool operator==(const account&, const account&) = default;
};

/// The accounts of one version of the configuration and the keys that stand for
/// them.
class directory {
public:
    /// Adds an account, or takes its place where one of that name is there.
    void add(account item);

    /// Lets a key stand for an account. A key of two accounts stands for none:
    /// whoever sends it could be given the other's data.
    void add_key(const key_digest& key, std::string_view name);

    /// The account that a key stands for; null when it stands for none.
    [[nodiscard]] const account* find_by_key(const key_digest& key) const;

    /// The account of that name; null when there is none.
    [[nodiscard]] const account* find(std::string_view name) const;

    [[nodiscard]] const std::map<std::string, account, std::less<>>& all() const noexcept { return m_accounts; }

    /// The name that each key stands for.
    [[nodiscard]] const std::map<key_digest, std::string>& keys() const noexcept { return m_keys; }

    /// How many keys were given to more than one account.
    [[nodiscard]] std::size_t ambiguous() const noexcept { return m_ambiguous.size(); }

private:
    std::map<std::string, account, std::less<>> m_accounts;
    std::map<key_digest, std::string> m_keys;
    std::set<key_digest> m_ambiguous;
};

} // namespace cornellever::accounts
