#include "cornellever/proxy/primary_keeper.hpp"

#include <algorithm>
#include <random>

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

#include "cornellever/core/log.hpp"
#include "cornellever/rpc/channel.hpp"

namespace cornellever::proxy {

namespace {

/// Pauses after a try to replace a primary that did not.
constexpr auto first_retry = std::chrono::milliseconds{200};
constexpr auto longest_retry = std::chrono::milliseconds{1600};

} // namespace

primary_keeper::primary_keeper(const asio::any_io_executor& executor, const topology& known,
                               const tcp::endpoint& platform, std::vector<tcp::endpoint> peers, std::string name,
                               const state_chart& failover_steps, keeper_limits limits,
                               std::function<void(const heartbeat&)> on_promoted)
    : m_executor{executor}
    , m_known{known}
    , m_peers{std::move(peers)}
    , m_limits{limits}
    , m_store{m_executor, platform, limits.call_deadline}
    , m_group{m_executor}
    , m_failover{m_store, m_group, failover_steps, std::move(name), to_string(boost::uuids::random_generator{}())}
    , m_on_promoted{std::move(on_promoted)} {}

asio::awaitable<void> primary_keeper::run(const config::cluster& config) {
    for (;;) {
        const auto now = clock::now();
        for (const auto& svc : config.services) {
            for (const auto& db : svc.databases) {
                watch(svc.name, db.name, now);
            }
        }
        co_await sleep_for(m_limits.judge_every);
    }
}

void primary_keeper::watch(const std::string& service, const std::string& database, clock::time_point now) {
    const auto key = database_key(service, database);
    const auto found = judge(m_known.members(service, database), now);
    if (found != verdict::unreachable) {
        m_unreachable.erase(key);
    } else if (now - m_unreachable.try_emplace(key, now).first->second < m_limits.unreachable_for) {
        return;
    }
    if (found == verdict::keep || !m_replacing.insert(key).second) {
        return;
    }
    if (found == verdict::unreachable) {
        asio::co_spawn(m_executor, replace_unreachable(service, database), asio::detached);
    } else {
        asio::co_spawn(m_executor, replace(service, database, found == verdict::leaving), asio::detached);
    }
}

asio::awaitable<std::vector<peer_word>> primary_keeper::ask_about_primary(const std::string& service,
                                                                          const std::string& database) {
    Json::Value params;
    params["service"] = service;
    params["database"] = database;
    std::vector<peer_word> words;
    for (const auto& peer : m_peers) {
        rpc::channel link{m_executor, peer};
        auto word = co_await link.call("primary.heard", params, m_limits.call_deadline);
        if (!word || !word->isObject()) {
            words.push_back(peer_word::no_answer);
        } else {
            words.push_back((*word)["heard"] == true ? peer_word::hears_it : peer_word::does_not);
        }
    }
    co_return words;
}

asio::awaitable<void> primary_keeper::replace_unreachable(std::string service, std::string database) {
    // The partition may be between the primary and this proxy alone: then
    // others are served, and replacing it would end their transactions.
    const auto words = co_await ask_about_primary(service, database);
    if (peers_agree(words)) {
        co_await replace(std::move(service), std::move(database), false);
        co_return;
    }
    co_await sleep_for(m_limits.unreachable_for);
    m_replacing.erase(database_key(service, database));
}

asio::awaitable<void> primary_keeper::replace(std::string service, std::string database, bool planned) {
    const auto key = database_key(service, database);
    std::vector<group_member> members;
    std::optional<group_member> old;
    std::uint64_t term = 0;
    for (const auto* item : m_known.members(service, database)) {
        members.push_back(group_member{item->key, item->address, item->leaving_since || item->primary});
        term = std::max(term, item->term);
        if (planned && item->primary && item->leaving_since) {
            old = members.back();
        }
    }
    log_event(event::failover_started,
              "database=" + key + " known_term=" + std::to_string(term) + " planned=" + (planned ? "yes" : "no"));
    const auto outcome = co_await m_failover.run(key, std::move(members), old, term);
    co_await finish(key, outcome);
    m_replacing.erase(key);
}

asio::awaitable<void> primary_keeper::finish(const std::string& database, const failover_outcome& outcome) {
    auto& retry = m_retries.try_emplace(database, first_retry, longest_retry, std::random_device{}()).first->second;
    const auto fields = "database=" + database + " term=" + std::to_string(outcome.term);
    if (!outcome.promoted()) {
        log_event(event::failover_given_up, fields + " reason=" + outcome.event);
        // With a data centre gone, every proxy tries for many databases: no
        // more than a few tries a second may reach the platform for each.
        co_await sleep_for(retry.next());
        co_return;
    }
    retry.reset();
    log_event(event::failover_done, fields + " primary=" + outcome.primary + " record=" + outcome.event);
    heartbeat beat;
    beat.key = outcome.primary;
    beat.answered = true;
    beat.primary = true;
    beat.term = outcome.term;
    m_on_promoted(beat);
}

} // namespace cornellever::proxy
