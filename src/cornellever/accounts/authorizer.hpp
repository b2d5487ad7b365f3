#pragma once

#include <string_view>
#include <utility>

#include "cornellever/accounts/configuration_lease.hpp"
#include "cornellever/accounts/directory.hpp"

namespace cornellever::accounts {

/// Whether a request is authorized.
enum class permission {
    granted,
    /// The key belongs to no account, because it never did or because it was revoked.
    unknown_key,
    /// The key belongs to an account according to this proxy's configuration, but the configuration may be outdated
    /// because its lease has expired (see `configuration_lease`).
    lease_ended,
};

[[nodiscard]] constexpr std::string_view to_string(permission verdict) noexcept {
    switch (verdict) {
    case permission::granted:
        return "granted";
    case permission::unknown_key:
        return "unknown_key";
    case permission::lease_ended:
        return "lease_ended";
    }
    return "unknown";
}

/// Finds the account of a request by the request's key and decides whether the request may run. This is checked when a
/// session opens, and again immediately before each statement is sent to a server.
class authorizer {
public:
    using time_point = boot_clock::time_point;

    /// The result of a check. `matched_account` is null if the request belongs to no account.
    struct decision {
        permission verdict{permission::granted};
        const account* matched_account{nullptr};

        [[nodiscard]] bool granted() const noexcept { return verdict == permission::granted; }
        [[nodiscard]] int account_priority() const noexcept {
            return matched_account == nullptr ? 0 : matched_account->priority;
        }
        [[nodiscard]] std::string_view account_name() const noexcept {
            return matched_account == nullptr ? std::string_view{} : std::string_view{matched_account->name};
        }
    };

    explicit authorizer(configuration_lease lease = configuration_lease{}) : m_lease{lease} {}

    void set_accounts(directory accounts) { m_accounts = std::move(accounts); }
    void confirm_current(time_point at) { m_lease.confirm_current(at); }

    /// Checks a request. `keyless` is true if the database of the request accepts requests without a key.
    [[nodiscard]] decision authorize(bool keyless, const key_digest& key, time_point now) const {
        if (keyless) {
            return {};
        }
        const auto* matched_account = m_accounts.find_by_key(key);
        if (matched_account == nullptr) {
            return {permission::unknown_key, nullptr};
        }
        return {m_lease.is_valid(now) ? permission::granted : permission::lease_ended, matched_account};
    }

    [[nodiscard]] const directory& accounts() const noexcept { return m_accounts; }
    [[nodiscard]] const configuration_lease& lease() const noexcept { return m_lease; }

private:
    directory m_accounts;
    configuration_lease m_lease;
};

} // namespace cornellever::accounts
