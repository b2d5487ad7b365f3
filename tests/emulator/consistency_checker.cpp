#include "consistency_checker.hpp"

#include <algorithm>
#include <cstdio>

namespace cornellever::emulator {

request& consistency_checker::record_request(request what) {
    auto id = what.id;
    return m_requests.insert_or_assign(std::move(id), std::move(what)).first->second;
}

const request* consistency_checker::find_request(std::string_view id) const {
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : &found->second;
}

void consistency_checker::report_violation(std::string_view kind, const std::string& what) {
    ++m_violations;
    std::printf("violation: %.*s: %s\n", static_cast<int>(kind.size()), kind.data(), what.c_str());
    std::fflush(stdout);
}

void consistency_checker::record_execution(const std::string& id, std::string signature, std::string row) {
    m_executions[id].push_back({std::move(signature), std::move(row)});
}

void consistency_checker::check_success(const request& issued, const std::string& signature, const std::string& row) {
    ++m_successes;
    const auto found = m_executions.find(issued.id);
    const bool matched = found != m_executions.end() && std::ranges::any_of(found->second, [&](const execution& item) {
                             return item.signature == signature && item.row == row;
                         });
    if (!matched) {
        report_violation("mismatched reply",
                         issued.id + " got " + signature + " / " + row + ", which no server replied to it");
    }
}

void consistency_checker::record_refusal(const std::vector<std::string>& writes) {
    for (const auto& id : writes) {
        m_refused_writes.insert(id);
        if (m_committed_writes.contains(id)) {
            report_violation("refused write",
                             "write " + id + " is committed although its caller was told that it is not");
        }
    }
}

void consistency_checker::record_commit(const std::string& service, const std::vector<std::string>& writes,
                                        sql::log_position position) {
    for (const auto& id : writes) {
        if (m_committed_writes.contains(id)) {
            report_violation("duplicate write", "write " + id + " committed at " +
                                                    sql::to_string(m_committed_writes[id]) + " and " +
                                                    sql::to_string(position));
        }
        if (m_refused_writes.contains(id)) {
            report_violation("refused write",
                             "write " + id + " committed after its caller was told that it had no effect");
        }
        m_committed_writes[id] = position;
        m_service_by_write[id] = service;
    }
}

void consistency_checker::record_rollback(const std::string& service,
                                          const std::function<bool(sql::log_position)>& holds, bool lossless) {
    for (auto& item : m_acknowledged[service]) {
        if (!item.rolled_back && !holds(item.position)) {
            item.rolled_back = true;
            ++m_rolled_back;
            if (lossless) {
                report_violation("lost commit", "a promotion in " + service + " discarded " +
                                                    sql::to_string(item.position) + ", which is acknowledged");
            }
        }
    }
    std::erase_if(m_committed_writes, [&](const auto& item) {
        const bool discarded = m_service_by_write[item.first] == service && !holds(item.second);
        if (discarded && lossless) {
            m_discarded_losslessly.insert(item.first);
        }
        return discarded;
    });
}

void consistency_checker::record_acknowledged_commit(const request& issued, const std::vector<std::string>& writes) {
    if (writes.empty()) {
        return;
    }
    const auto found = m_committed_writes.find(writes.front());
    if (found == m_committed_writes.end()) {
        // Committed, and rolled back by a promotion before the reply arrived.
        ++m_rolled_back;
        if (m_discarded_losslessly.contains(writes.front())) {
            report_violation("lost commit", "write " + writes.front() + " of " + m_service_by_write[writes.front()] +
                                                " is acknowledged, but a promotion discarded it");
        }
        return;
    }
    m_acknowledged[m_service_by_write[writes.front()]].push_back(
        {found->second, boot_clock::now(), issued.session, false});
}

std::string consistency_checker::summary() const {
    return "statements " + std::to_string(m_requests.size()) + ", successes " + std::to_string(m_successes) +
           ", reads checked " + std::to_string(m_reads_checked) + ", commits " +
           std::to_string(m_committed_writes.size()) + ", acknowledged commits rolled back by promotions " +
           std::to_string(m_rolled_back) + ", violations " + std::to_string(m_violations);
}

} // namespace cornellever::emulator
