#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <vector>

#include <jsoncpp/json/value.h>

namespace cornellever::backend {

/// A write statement as sent to replicas: SQL text and parameters.
struct logged_statement {
    std::string sql;
    Json::Value params;
};

/// One committed write transaction at a log position. `term` is the term of the
/// primary that wrote the entry.
struct log_entry {
    std::uint64_t position{0};
    std::uint64_t term{0};
    /// When this instance appended or received the entry.
    std::chrono::steady_clock::time_point received_at;
    std::vector<logged_statement> statements;
};

/// The end of a log. Ends are ordered by term first, because an entry of a later
/// term replaces an entry of an earlier term at the same position.
struct log_end {
    std::uint64_t term{0};
    std::uint64_t position{0};

    friend auto operator<=>(const log_end&, const log_end&) = default;
};

/// An instance's log of committed writes, held completely in memory. A primary
/// sends the entries in its log to the replicas; a replica stores received
/// entries in its log before applying them.
class write_log {
public:
    /// Appends a committed transaction and returns its position.
    std::uint64_t append(std::uint64_t term, std::vector<logged_statement> statements,
                         std::chrono::steady_clock::time_point now);

    /// Adds an entry received from the primary. The entry's position must follow
    /// the last position of the log.
    void receive(log_entry entry);

    /// Removes the entry at `position` and all later entries.
    void truncate_from(std::uint64_t position);

    /// Returns the entries after `position`, but no more than `limit`.
    [[nodiscard]] std::vector<const log_entry*> after(std::uint64_t position, std::size_t limit) const;

    /// Returns the entry at `position`, or null when the log does not contain it.
    [[nodiscard]] const log_entry* at(std::uint64_t position) const;

    /// The position of the last entry; 0 for an empty log.
    [[nodiscard]] std::uint64_t last() const noexcept { return m_last; }

    /// The term and position of the last entry.
    [[nodiscard]] log_end end() const noexcept;

    /// Whether the log contains, at `position`, the entry written in `term`.
    [[nodiscard]] bool holds(std::uint64_t position, std::uint64_t term) const;

private:
    std::deque<log_entry> m_entries;
    std::uint64_t m_last{0};
};

/// A log entry as JSON for the `replicate` call.
[[nodiscard]] Json::Value to_json(const log_entry& entry);

/// Parses a log entry from JSON; statements without SQL text are skipped.
[[nodiscard]] log_entry entry_from_json(const Json::Value& value);

} // namespace cornellever::backend
