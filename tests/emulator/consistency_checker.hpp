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
    const database* at{nullptr};
    /// Values and prepared shapes that were acknowledged to the session.
    std::map<std::string, std::string> values;
    /// For EXECUTE: READ or WRITE, and the shape.
    std::string prepared;
};

/// A commit that was acknowledged to a caller.
struct acknowledged_commit {
    sql::log_position at;
    time_point when;
    std::uint64_t session{0};
    bool rolled_back{false};
};

/// Knows what callers asked and were told and what servers ran, and notes each
/// promise that was broken.
class promises {
public:
    /// A new statement; the reference stays valid.
    request& sent(request what);
    [[nodiscard]] const request* find(std::string_view id) const;

    void broken(std::string_view promise, const std::string& what);

    /// A server ran a caller's statement and answers with this proof and row.
    void ran(const std::string& id, std::string signature, std::string row);

    /// Whether any server ran a statement with this id.
    [[nodiscard]] bool ran_anywhere(const std::string& id) const { return m_runs.contains(id); }

    /// A caller got a success.
    void succeeded(const request& asked, const std::string& signature, const std::string& row);

    /// A caller was told that nothing of these write ids is kept.
    void promised_not_run(const std::vector<std::string>& writes);

    /// Writes became part of a service's log at `at`, or were rolled back.
    void committed(const std::string& service, const std::vector<std::string>& writes, sql::log_position at);
    void rolled_back(const std::string& service, std::uint64_t kept_numbers);

    /// A caller got the success of a commit of these writes.
    void commit_acknowledged(const request& asked, const std::vector<std::string>& writes);

    /// A read ran on a log; `holds` tells whether it has a position.
    template <typename Holds>
    void read_ran(const request& asked, Holds holds) {
        const auto& known = m_acknowledged[asked.at->service];
        for (const auto& item : known) {
            const auto bound =
                asked.at->reads == freshness::primary ? asked.begun_at : asked.begun_at - asked.at->max_staleness;
            const bool own = asked.at->reads == freshness::own_writes && item.session == asked.session;
            const bool owed = !item.rolled_back && (item.when < bound || (own && item.when < asked.begun_at));
            if (owed && !holds(item.at)) {
                broken("stale", asked.id + " on " + asked.at->name + " lacks " + sql::to_string(item.at) +
                                    (own ? " of its own session" : "") + ", acknowledged " +
                                    std::to_string(to_ms(asked.begun_at - item.when)) + " ms before");
                return;
            }
        }
        ++m_reads_checked;
    }

    [[nodiscard]] std::size_t breaches() const noexcept { return m_breaches; }
    [[nodiscard]] std::string summary() const;

private:
    struct run {
        std::string signature;
        std::string row;
    };

    std::map<std::string, request, std::less<>> m_requests;
    std::map<std::string, std::vector<run>, std::less<>> m_runs;
    std::map<std::string, std::vector<acknowledged_commit>, std::less<>> m_acknowledged;
    /// Where each write stands in a log at present.
    std::map<std::string, sql::log_position, std::less<>> m_written;
    std::map<std::string, std::string, std::less<>> m_service_of;
    std::set<std::string, std::less<>> m_refused;
    std::size_t m_breaches{0};
    std::size_t m_reads_checked{0};
    std::size_t m_successes{0};
    std::size_t m_rolled_back{0};
};

} // namespace cornellever::emulator
