#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cornellever/core/boot_clock.hpp"
#include "cornellever/sql/position.hpp"

namespace cornellever::emulator {

using time_point = boot_clock::time_point;

/// How fresh a database's reads have to be, as the product's pages promise.
enum class freshness { primary, bounded, own_writes };

/// A database that callers may name.
struct database {
    std::string name;
    std::string service;
    freshness reads{freshness::primary};
    std::chrono::milliseconds max_staleness{0};
};

/// A caller's statement, noted before its first byte is sent.
struct request {
    std::string id;
    std::string text;
    std::uint64_t session{0};
    /// Of the caller's transaction; 0 outside one.
    std::uint64_t transaction{0};
    time_point sent_at;
    /// When its transaction began, or when it was sent.
    time_point begun_at;
    const database* target{nullptr};
    /// Values and prepared shapes that were acknowledged to the session.
    std::map<std::string, std::string> values;
    /// For EXECUTE: READ or WRITE, and the shape.
    std::string prepared;
};

/// A commit that was acknowledged to a caller.
struct acknowledged_commit {
    sql::log_position position;
    time_point acknowledged_at;
    std::uint64_t session{0};
    bool rolled_back{false};
};

/// Knows what callers asked and were told and what servers ran, and notes each
/// promise that was broken.
class consistency_checker {
public:
    /// A new statement; the reference stays valid.
    request& record_request(request what);
    [[nodiscard]] const request* find_request(std::string_view id) const;

    void report_violation(std::string_view kind, const std::string& what);

    /// A server ran a caller's statement and answers with this proof and row.
    void record_execution(const std::string& id, std::string signature, std::string row);

    /// Whether any server ran a statement with this id.
    [[nodiscard]] bool was_executed(const std::string& id) const { return m_executions.contains(id); }

    /// A caller got a success.
    void check_success(const request& issued, const std::string& signature, const std::string& row);

    /// A caller was told that nothing of these write ids is kept.
    void record_refusal(const std::vector<std::string>& writes);

    /// Writes became part of a service's log at `at`, or were rolled back.
    void record_commit(const std::string& service, const std::vector<std::string>& writes, sql::log_position position);
    void record_rollback(const std::string& service, std::uint64_t retained_entries);

    /// A caller got the success of a commit of these writes.
    void record_acknowledged_commit(const request& issued, const std::vector<std::string>& writes);

    /// A read ran on a log; `holds` tells whether it has a position.
    template <typename HasApplied>
    void check_read(const request& issued, HasApplied has_applied) {
        const auto& acknowledged = m_acknowledged[issued.target->service];
        for (const auto& item : acknowledged) {
            const auto bound = issued.target->reads == freshness::primary
                                   ? issued.begun_at
                                   : issued.begun_at - issued.target->max_staleness;
            const bool own = issued.target->reads == freshness::own_writes && item.session == issued.session;
            const bool required =
                !item.rolled_back && (item.acknowledged_at < bound || (own && item.acknowledged_at < issued.begun_at));
            if (required && !has_applied(item.position)) {
                report_violation("stale",
                                 issued.id + " on " + issued.target->name + " lacks " + sql::to_string(item.position) +
                                     (own ? " of its own session" : "") + ", acknowledged " +
                                     std::to_string(to_ms(issued.begun_at - item.acknowledged_at)) + " ms before");
                return;
            }
        }
        ++m_reads_checked;
    }

    [[nodiscard]] std::size_t violations() const noexcept { return m_violations; }
    [[nodiscard]] std::string summary() const;

private:
    struct execution {
        std::string signature;
        std::string row;
    };

    std::map<std::string, request, std::less<>> m_requests;
    std::map<std::string, std::vector<execution>, std::less<>> m_executions;
    std::map<std::string, std::vector<acknowledged_commit>, std::less<>> m_acknowledged;
    /// Where each write stands in a log at present.
    std::map<std::string, sql::log_position, std::less<>> m_committed_writes;
    std::map<std::string, std::string, std::less<>> m_service_by_write;
    std::set<std::string, std::less<>> m_refused_writes;
    std::size_t m_violations{0};
    std::size_t m_reads_checked{0};
    std::size_t m_successes{0};
    std::size_t m_rolled_back{0};
};

} // namespace cornellever::emulator
