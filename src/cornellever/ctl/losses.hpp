#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cornellever/ctl/log_line.hpp"

namespace cornellever::ctl {

/// The stage at which a request failed or was delayed: opening the session,
/// waiting for a connection, waiting for a primary, the relay to another proxy,
/// the backend server, or the check of the client account's limits and keys.
enum class loss_place { opening, queue, no_primary, relay, server, account };

[[nodiscard]] std::string_view to_string(loss_place place) noexcept;

/// The grouping key of the counts.
struct loss_group {
    loss_place place{loss_place::queue};
    std::string reason;
    /// The name of the service, or of the database when the log line contains no
    /// service.
    std::string service;
    /// The client account; empty when the log line names none.
    std::string account{};

    friend auto operator<=>(const loss_group&, const loss_group&) = default;
};

struct loss_count {
    std::uint64_t requests{0};
    /// Sum of the ages of the requests in milliseconds, up to the log line that
    /// reports the loss.
    long long waited_ms{0};
    long long longest_ms{0};

    void add(long long waited);
};

/// Counts, from the logs of one or more proxies, the requests that were refused,
/// failed or exceeded their latency target. Also counts the attempts that failed
/// at a server or another proxy and were retried.
class loss_table {
public:
    struct row {
        loss_group group;
        loss_count count;
    };

    /// Adds all lines of a log.
    void add_log(std::string_view log);

    /// The counts by group, sorted in descending order.
    [[nodiscard]] std::vector<row> rows() const;

    /// The counts of all groups by second; the key is a timestamp without
    /// milliseconds. Attempts that were retried are not included.
    [[nodiscard]] const std::map<std::string, loss_count, std::less<>>& per_second() const noexcept {
        return m_per_second;
    }

private:
    void add_line(const log_line& line);
    /// `final` is false for an attempt that was retried.
    void add(const log_line& line, loss_place place, std::string reason, bool final);

    std::map<loss_group, loss_count> m_counts;
    std::map<std::string, loss_count, std::less<>> m_per_second;
};

} // namespace cornellever::ctl
