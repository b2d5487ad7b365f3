#include "consistency_checker.hpp"

#include <algorithm>
#include <cstdio>

namespace cornellever::emulator {

request& promises::sent(request what) {
    auto id = what.id;
    return m_requests.insert_or_assign(std::move(id), std::move(what)).first->second;
}

const request* promises::find(std::string_view id) const {
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : &found->second;
}

void promises::broken(std::string_view promise, const std::string& what) {
    ++m_breaches;
    std::printf("broken: %.*s: %s\n", static_cast<int>(promise.size()), promise.data(), what.c_str());
    std::fflush(stdout);
}

void promises::ran(const std::string& id, std::string signature, std::string row) {
    m_runs[id].push_back({std::move(signature), std::move(row)});
}

void promises::succeeded(const request& asked, const std::string& signature, const std::string& row) {
    ++m_successes;
    const auto found = m_runs.find(asked.id);
    const bool proved = found != m_runs.end() && std::ranges::any_of(found->second, [&](const run& item) {
                            return item.signature == signature && item.row == row;
                        });
    if (!proved) {
        broken("mixed", asked.id + " got " + signature + " / " + row + ", which no server answered to it");
    }
}

void promises::promised_not_run(const std::vector<std::string>& writes) {
    for (const auto& id : writes) {
        m_refused.insert(id);
        if (m_written.contains(id)) {
            broken("refused", "write " + id + " is kept although its caller was told that it is not");
        }
    }
}

void promises::committed(const std::string& service, const std::vector<std::string>& writes, sql::log_position at) {
    for (const auto& id : writes) {
        if (m_written.contains(id)) {
            broken("twice", "write " + id + " at " + sql::to_string(m_written[id]) + " and " + sql::to_string(at));
        }
        if (m_refused.contains(id)) {
            broken("refused", "write " + id + " committed after its caller was told that nothing is kept");
        }
        m_written[id] = at;
        m_service_of[id] = service;
    }
}

void promises::rolled_back(const std::string& service, std::uint64_t kept_numbers) {
    for (auto& item : m_acknowledged[service]) {
        if (!item.rolled_back && item.at.number > kept_numbers) {
            item.rolled_back = true;
            ++m_rolled_back;
        }
    }
    std::erase_if(m_written, [&](const auto& item) {
        return item.second.number > kept_numbers && m_service_of[item.first] == service;
    });
}

void promises::commit_acknowledged(const request& asked, const std::vector<std::string>& writes) {
    if (writes.empty()) {
        return;
    }
    const auto found = m_written.find(writes.front());
    if (found == m_written.end()) {
        // Committed, and rolled back by a promotion before the answer arrived.
        ++m_rolled_back;
        return;
    }
    m_acknowledged[asked.at->service].push_back({found->second, boot_clock::now(), asked.session, false});
}

std::string promises::summary() const {
    return "statements " + std::to_string(m_requests.size()) + ", successes " + std::to_string(m_successes) +
           ", reads checked " + std::to_string(m_reads_checked) + ", commits " + std::to_string(m_written.size()) +
           ", acknowledged commits rolled back by promotions " + std::to_string(m_rolled_back) + ", promises broken " +
           std::to_string(m_breaches);
}

} // namespace cornellever::emulator
