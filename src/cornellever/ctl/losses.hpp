#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cornellever/ctl/log_line.hpp"

namespace cornellever::ctl {

/// Where a request lost its time or its answer.
enum class loss_place { opening, queue, no_primary, relay, server, account };

[[nodiscard]] std::string_view to_string(loss_place where) noexcept;

/// What the requests of one row have in common.
struct loss_kind {
    loss_place where{loss_place::queue};
    std::string reason;
    /// Or the database, where a line does not tell the service.
    std::string service;

    friend auto operator<=>(const loss_kind&, const loss_kind&) = default;
};

struct loss_count {
    std::uint64_t requests{0};
    long long waited_ms{0};
    long long longest_ms{0};

    void add(long long waited);
};

/// Counts, from the logs of one proxy or many, the requests that were refused,
/// failed or answered later than their callers aim at, and the tries that a
/// server or another proxy turned down.
class loss_table {
public:
    struct row {
        loss_kind kind;
        loss_count count;
    };

    /// Takes a whole log, line by line.
    void take(std::string_view log);

    /// Most requests first.
    [[nodiscard]] std::vector<row> rows() const;

    /// By second, as the log writes it, all kinds together; tries that another
    /// one followed are left out.
    [[nodiscard]] const std::map<std::string, loss_count, std::less<>>& seconds() const noexcept { return m_seconds; }

private:
    void take_line(const log_line& line);
    void add(const log_line& line, loss_place where, std::string reason, bool final);

    std::map<loss_kind, loss_count> m_kinds;
    std::map<std::string, loss_count, std::less<>> m_seconds;
};

} // namespace cornellever::ctl
