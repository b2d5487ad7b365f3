#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <jsoncpp/json/value.h>

#include "cornellever/core/error.hpp"

namespace cornellever::standin {

/// A versioned row of the transactional table. The table simulates, for tests,
/// that of the platform: the external service that keeps the configuration and the
/// list of VMs of a deployment. Versions start at 1 and increase by one with each
/// write; 0 stands for a missing row.
struct row {
    std::uint64_t version{0};
    Json::Value value;
};

/// A precondition of a transaction: the row at `key` is at `version`, where 0
/// stands for a missing row.
struct row_precondition {
    std::string key;
    std::uint64_t version{0};
};

/// One row write of a transaction.
struct row_write {
    std::string key;
    Json::Value value;
};

/// The in-memory table of the simulated platform. It has versioned rows,
/// compare-and-set and small multi-row transactions.
class table {
public:
    /// Returns the row at `key`. Errors: `not_found` when the row does not exist.
    [[nodiscard]] result<row> get(std::string_view key) const;

    /// Writes `value` if the row is at version `expected` (0 for a missing row)
    /// and returns the new version. Errors: `conflict`, naming the actual
    /// version.
    [[nodiscard]] result<std::uint64_t> compare_and_set(std::string_view key, std::uint64_t expected,
                                                        const Json::Value& value);

    /// Applies all `writes` if every precondition in `checks` holds, otherwise
    /// none, and returns the new versions. Errors: `conflict`, naming the first
    /// precondition that failed.
    [[nodiscard]] result<std::vector<std::uint64_t>> transact(std::span<const row_precondition> checks,
                                                              std::span<const row_write> writes);

    /// Returns the keys that start with `prefix`, in key order, and the versions
    /// of their rows.
    [[nodiscard]] std::vector<std::pair<std::string, std::uint64_t>> list(std::string_view prefix) const;

    /// All rows, for snapshots and state dumps.
    [[nodiscard]] const std::map<std::string, row, std::less<>>& rows() const noexcept { return m_rows; }

    /// Replaces all rows by those of a snapshot.
    void restore(std::map<std::string, row, std::less<>> rows) { m_rows = std::move(rows); }

private:
    [[nodiscard]] std::uint64_t version_of(std::string_view key) const;

    std::map<std::string, row, std::less<>> m_rows;
};

} // namespace cornellever::standin
