#include "cornellever/backend/log.hpp"

namespace cornellever::backend {

std::uint64_t write_log::append(std::uint64_t term, std::vector<logged_statement> statements,
                                std::chrono::steady_clock::time_point now) {
    m_entries.push_back(log_entry{++m_last, term, now, std::move(statements)});
    return m_last;
}

void write_log::receive(log_entry entry) {
    m_last = entry.position;
    m_entries.push_back(std::move(entry));
}

void write_log::truncate_from(std::uint64_t position) {
    while (!m_entries.empty() && m_entries.back().position >= position) {
        m_entries.pop_back();
    }
    m_last = m_entries.empty() ? 0 : m_entries.back().position;
}

log_end write_log::end() const noexcept {
    return m_entries.empty() ? log_end{} : log_end{m_entries.back().term, m_entries.back().position};
}

bool write_log::holds(std::uint64_t position, std::uint64_t term) const {
    const auto* entry = at(position);
    return entry != nullptr && entry->term == term;
}

std::vector<const log_entry*> write_log::after(std::uint64_t position, std::size_t limit) const {
    std::vector<const log_entry*> out;
    for (auto next = position + 1; next <= m_last && out.size() < limit; ++next) {
        const auto* entry = at(next);
        if (entry == nullptr) {
            break;
        }
        out.push_back(entry);
    }
    return out;
}

const log_entry* write_log::at(std::uint64_t position) const {
    if (m_entries.empty() || position < m_entries.front().position || position > m_last) {
        return nullptr;
    }
    return &m_entries[position - m_entries.front().position];
}

Json::Value to_json(const log_entry& entry) {
    Json::Value out;
    out["position"] = static_cast<Json::UInt64>(entry.position);
    out["term"] = static_cast<Json::UInt64>(entry.term);
    out["statements"] = Json::arrayValue;
    for (const auto& statement : entry.statements) {
        Json::Value item;
        item["sql"] = statement.sql;
        item["params"] = statement.params;
        out["statements"].append(item);
    }
    return out;
}

log_entry entry_from_json(const Json::Value& value) {
    log_entry out;
    out.position = value["position"].asUInt64();
    out.term = value["term"].asUInt64();
    for (const auto& item : value["statements"]) {
        if (item["sql"].isString()) {
            out.statements.push_back(logged_statement{item["sql"].asString(), item["params"]});
        }
    }
    return out;
}

} // namespace cornellever::backend
