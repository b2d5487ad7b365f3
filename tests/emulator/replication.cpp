#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "replicated_service.hpp"

// Replication and promotion of an emulated service.

namespace cornellever::emulator {

namespace {

using namespace std::chrono_literals;

constexpr auto promotion_delay = 300ms;
constexpr auto replication_period = 15ms;
/// A commit that no replica receives within this time is not acknowledged.
constexpr auto acknowledgement_timeout = 700ms;
constexpr auto acknowledgement_poll_period = 2ms;
/// A handover may lose commits for this long after a fault such as a crash or a partition, of which the longest lasts
/// 10 s.
constexpr auto hard_fault_effect = 15s;

bool is_prefix(const std::vector<log_entry>& log, std::size_t count, const std::vector<log_entry>& of) {
    return count <= of.size() && std::equal(log.begin(), log.begin() + static_cast<std::ptrdiff_t>(count), of.begin(),
                                            [](const log_entry& left, const log_entry& right) {
                                                return left.term == right.term && left.writes == right.writes;
                                            });
}

} // namespace

replicated_service::replicated_service(asio::io_context& io, consistency_checker& checker, std::string name,
                                       std::vector<tcp::endpoint> addresses)
    : m_io{io}
    , m_checker{checker}
    , m_name{std::move(name)} {
    constexpr std::array data_centers{"walu", "laucala", "nabua"};
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        m_servers.push_back(std::make_unique<emulated_server>(io, *this, "i-" + m_name + "-" + std::to_string(i),
                                                              data_centers.at(i % data_centers.size()), addresses[i]));
    }
    m_primary = m_servers.front().get();
    asio::co_spawn(io, replicate(), asio::detached);
}

emulated_server& replicated_service::primary() {
    return *m_primary;
}

void replicated_service::commit(emulated_server& at, std::vector<std::string> writes) {
    const auto now = boot_clock::now();
    at.m_log.push_back({m_term, writes, now, now});
    m_checker.record_commit(m_name, writes, {m_term, at.m_log.size()});
}

void replicated_service::catch_up(emulated_server& replica) {
    auto& log = replica.m_log;
    const auto& primary_log = m_primary->m_log;
    while (!is_prefix(log, log.size(), primary_log)) {
        log.pop_back();
    }
    const auto now = boot_clock::now();
    while (log.size() < primary_log.size()) {
        auto entry = primary_log[log.size()];
        entry.received_at = now;
        entry.due = now + replica.lag;
        log.push_back(std::move(entry));
    }
    replica.m_term = m_term;
}

asio::awaitable<void> replicated_service::replicate() {
    for (;;) {
        co_await sleep_for(replication_period);
        if (!m_primary->m_running || m_primary->m_log_lost) {
            continue;
        }
        for (auto& item : m_servers) {
            if (item.get() != m_primary && item->m_running && !item->replication_stopped) {
                catch_up(*item);
            }
        }
    }
}

bool replicated_service::promote(const std::string& id, const std::string& holder, std::uint64_t token) {
    const auto found = std::ranges::find_if(m_servers, [&](const auto& item) { return item->id() == id; });
    const auto previous_holder = m_holders.emplace(token, holder).first->second;
    if (previous_holder != holder) {
        m_checker.report_violation("fencing token", previous_holder + " and " + holder +
                                                        " requested promotions with token " + std::to_string(token));
    }
    if (token < m_token || found == m_servers.end() || !(*found)->running()) {
        return false;
    }
    m_token = token;
    if (const auto notify = std::exchange(on_promotion_order, nullptr)) {
        notify(**found);
    }
    if (!(*found)->is_primary()) {
        asio::co_spawn(m_io, complete_promotion(**found, token), asio::detached);
    }
    return true;
}

bool replicated_service::is_recent(const std::optional<time_point>& fault_at) {
    return fault_at && boot_clock::now() - *fault_at < hard_fault_effect;
}

asio::awaitable<bool> replicated_service::await_synchronous_replicas(const emulated_server& at, std::uint64_t count) {
    const auto until = boot_clock::now() + acknowledgement_timeout;
    const auto term = at.m_term;
    while (at.m_running && at.is_primary() && at.m_term == term && boot_clock::now() < until) {
        const auto received = std::ranges::count_if(m_servers, [&](const auto& item) {
            return item.get() != &at && item->m_running && item->m_term == term && item->received() >= count;
        });
        if (received >= synchronous_replicas) {
            co_return true;
        }
        co_await sleep_for(acknowledgement_poll_period);
    }
    co_return false;
}

asio::awaitable<void> replicated_service::complete_promotion(emulated_server& candidate, std::uint64_t token) {
    co_await sleep_for(promotion_delay);
    if (token < m_token || !candidate.m_running || candidate.is_primary()) {
        co_return;
    }
    const bool handover = m_primary->m_stepped_down && !is_recent(m_last_hard_fault_at);
    const bool synchronous = synchronous_replicas > 0 && !is_recent(m_last_log_loss_at);
    candidate.m_term = ++m_term;
    // A promotion applies everything that was received.
    const auto now = boot_clock::now();
    for (auto& entry : candidate.m_log) {
        entry.due = std::min(entry.due, now);
    }
    std::printf("%s is primary of %s in term %llu with %zu log entries\n", candidate.m_id.c_str(), m_name.c_str(),
                static_cast<unsigned long long>(m_term), candidate.m_log.size());
    const auto holds = [&](sql::log_position at) {
        return at.number <= candidate.m_log.size() && candidate.m_log[at.number - 1].term == at.term;
    };
    m_checker.record_rollback(m_name, holds, handover || synchronous);
    m_primary->m_log_lost = false;
    m_primary->m_stepped_down = false;
    m_primary = &candidate;
}

} // namespace cornellever::emulator
