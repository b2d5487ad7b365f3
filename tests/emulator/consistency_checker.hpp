#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cornellever/core/boot_clock.hpp"
#include "cornellever/sql/position.hpp"

namespace cornellever::emulator {

using time_point = boot_clock::time_point;

/// The freshness guarantee of a database's reads: every commit acknowledged
/// before the read began (`primary`), those acknowledged more than the maximum
/// staleness before (`bounded`), or as `bounded` plus all commits of the same
/// session (`own_writes`).
enum class freshness { primary, bounded, own_writes };

/// A database name that callers connect to, and the service behind it.
struct database {
    std::string name;
    std::string service;
    freshness reads{freshness::primary};
    std::chrono::milliseconds max_staleness{0};
};

/// A caller's statement, recorded before its first byte is sent.
struct request {
    std::string id;
    std::string text;
    std::uint64_t session{0};
    /// Identifies the caller's transaction; 0 outside one.
    std::uint64_t transaction{0};
    time_point sent_at;
    /// When its transaction began; outside one, when it was sent.
    time_point begun_at;
    const database* target{nullptr};
    /// Session variables whose setting was acknowledged.
    std::map<std::string, std::string> values;
    /// For EXECUTE: the text of the prepared statement, which starts with READ or WRITE.
    std::string prepared;
};

/// A commit that was acknowledged to a caller, and its position in the log.
struct acknowledged_commit {
    sql::log_position position;
    time_point acknowledged_at;
    std::uint64_t session{0};
    bool rolled_back{false};
};

/// Compares the replies that callers receive with what the emulated servers
/// executed, and reports each violation of a consistency guarantee.
class consistency_checker {
public:
    /// Records a statement; the returned reference stays valid.
    request& record_request(request what);
    [[nodiscard]] const request* find_request(std::string_view id) const;

    /// Counts and prints a violation.
    void report_violation(std::string_view kind, const std::string& what);

    /// A server executed a caller's statement and replies with this signature and row.
    void record_execution(const std::string& id, std::string signature, std::string row);

    /// Counts a statement that a server refused since it names no prepared statement; returns the count.
    int count_unprepared(const std::string& id) { return ++m_unprepared[id]; }

    /// Whether any server executed the statement with this id.
    [[nodiscard]] bool was_executed(const std::string& id) const { return m_executions.contains(id); }

    /// Checks that a success a caller received is the reply of a server to that statement.
    void check_success(const request& issued, const std::string& signature, const std::string& row);

    /// A caller was told that none of these writes took effect; checks that this holds.
    void record_refusal(const std::vector<std::string>& writes);

    /// Writes were committed to a service's log at `position`; checks that each
    /// is committed only once.
    void record_commit(const std::string& service, const std::vector<std::string>& writes, sql::log_position position);
    /// A promotion discarded all log entries that the new primary's log does not hold according to `holds`. If it is
    /// `lossless`, which a planned handover and any promotion of a service with synchronous replicas has to be, no
    /// acknowledged commit may be among them.
    void record_rollback(const std::string& service, const std::function<bool(sql::log_position)>& holds,
                         bool lossless);

    /// A caller received the success of the commit of these writes.
    void record_acknowledged_commit(const request& issued, const std::vector<std::string>& writes);

    /// Checks a read that `service` ran against the freshness guarantee of its database;
    /// `has_applied` returns whether the server that ran it has applied a position.
    template <typename HasApplied>
    void check_read(const request& issued, const std::string& service, HasApplied has_applied) {
        const auto& acknowledged = m_acknowledged[service];
        for (const auto& item : acknowledged) {
            const auto bound = issued.target->reads == freshness::primary
                                   ? issued.begun_at
                                   : issued.begun_at - issued.target->max_staleness;
            const bool own = issued.target->reads == freshness::own_writes && item.session == issued.session;
            const bool required =
                !item.rolled_back && (item.acknowledged_at < bound || (own && item.acknowledged_at < issued.begun_at));
            if (required && !has_applied(item.position)) {
                report_violation("stale read",
                                 issued.id + " on " + issued.target->name + " lacks " + sql::to_string(item.position) +
                                     (own ? " of its own session" : "") + ", acknowledged " +
                                     std::to_string(to_ms(issued.begun_at - item.acknowledged_at)) + " ms earlier");
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
    /// The log position of each write that is currently committed.
    std::map<std::string, sql::log_position, std::less<>> m_committed_writes;
    std::map<std::string, std::string, std::less<>> m_service_by_write;
    std::set<std::string, std::less<>> m_refused_writes;
    /// Writes that a lossless promotion discarded, none of which may be acknowledged later.
    std::set<std::string, std::less<>> m_discarded_losslessly;
    std::map<std::string, int, std::less<>> m_unprepared;
    std::size_t m_violations{0};
    std::size_t m_reads_checked{0};
    std::size_t m_successes{0};
    std::size_t m_rolled_back{0};
};

} // namespace cornellever::emulator
