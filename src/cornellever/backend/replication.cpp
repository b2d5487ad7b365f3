#include <algorithm>

#include "cornellever/backend/connection_context.hpp"
#include "cornellever/backend/instance.hpp"
#include "cornellever/core/daemon.hpp"
#include "cornellever/core/log.hpp"
#include "cornellever/core/quorum.hpp"
#include "cornellever/rpc/reconnecting_channel.hpp"

namespace cornellever::backend {

namespace {

constexpr auto poll_interval = std::chrono::milliseconds{2};
constexpr auto heartbeat_interval = std::chrono::milliseconds{50};
constexpr auto ship_timeout = std::chrono::milliseconds{1000};
constexpr auto ship_retry_interval = std::chrono::milliseconds{100};
constexpr auto max_receive_wait = std::chrono::milliseconds{10'000};
constexpr std::size_t ship_batch = 256;

} // namespace

void instance::start_shipping() {
    m_replica_positions.clear();
    for (const auto& replica : m_settings.replicas) {
        asio::co_spawn(m_executor, ship(replica, m_role_epoch), asio::detached);
    }
}

void instance::step_down() {
    ++m_role_epoch;
    m_role = role::replica;
    m_quiescing = false;
    m_primary_contact_at = clock::now();
    m_received_all_at = m_primary_contact_at;
    for (auto* item : m_connections) {
        if (item->in_transaction) {
            item->roll_back();
            item->aborted = true;
        }
    }
}

void instance::adopt_term(std::uint64_t term) {
    if (term > m_term) {
        m_term = term;
        if (m_role == role::primary) {
            step_down();
        }
        wake_receive_waiters();
    }
}

void instance::wake_receive_waiters() {
    for (auto* timer : m_receive_waiters) {
        timer->cancel();
    }
}

void instance::discard_from(std::uint64_t position) {
    m_log.truncate_from(position);
    if (m_data.applied_position() < position) {
        return;
    }
    if (auto rebuilt = m_data.rebuild(); !rebuilt) {
        log_event(event::backend_refused,
                  "instance=" + m_settings.name + " reason=\"" + rebuilt.error().message + "\"");
    }
}

void instance::receive(const Json::Value& entries) {
    for (const auto& item : entries) {
        auto entry = entry_from_json(item);
        if (m_log.holds(entry.position, entry.term)) {
            continue;
        }
        if (entry.position <= m_log.last()) {
            discard_from(entry.position);
        }
        entry.received_at = clock::now();
        m_log.receive(std::move(entry));
    }
    wake_receive_waiters();
}

instance::answer instance::replicate(params in, rpc::connection& conn) {
    if (m_faults.replication_blocked) {
        conn.stop_answering = true;
        co_return fail(errc::outcome_unknown, "cut");
    }
    const auto term = in["term"].asUInt64();
    if (term < m_term || (term == m_term && m_role == role::primary)) {
        co_return fail(errc::fenced, "instance " + m_settings.name + " is in term " + std::to_string(m_term));
    }
    adopt_term(term);
    m_primary_contact_at = clock::now();
    const auto after = in["after"].asUInt64();
    Json::Value out;
    out["matched"] = after == 0 || m_log.holds(after, in["after_term"].asUInt64());
    if (!out["matched"].asBool()) {
        out["received"] = static_cast<Json::UInt64>(std::min(m_log.last(), after - 1));
        co_return out;
    }
    receive(in["entries"]);
    const auto last_received = after + in["entries"].size();
    if (last_received >= in["primary_last"].asUInt64()) {
        m_received_all_at = m_primary_contact_at;
    }
    out["received"] = static_cast<Json::UInt64>(last_received);
    co_return out;
}

asio::awaitable<void> instance::ship(tcp::endpoint replica, std::uint64_t role_epoch) {
    rpc::reconnecting_channel link{m_executor, replica};
    // Starts one entry before the end of the log: a newly promoted primary has
    // already appended the first entry of the new term, which no replica holds
    // yet.
    std::uint64_t sent = m_log.last() > 0 ? m_log.last() - 1 : 0;
    auto last_sent = clock::time_point{};
    while (m_role_epoch == role_epoch && m_role == role::primary) {
        const bool idle = m_log.last() == sent && clock::now() - last_sent < heartbeat_interval;
        if (idle || m_faults.replication_blocked || m_faults.frozen) {
            co_await sleep_for(poll_interval);
            continue;
        }
        Json::Value entries{Json::arrayValue};
        for (const auto* entry : m_log.after(sent, ship_batch)) {
            entries.append(to_json(*entry));
        }
        const auto* before = m_log.at(sent);
        Json::Value params;
        params["term"] = static_cast<Json::UInt64>(m_term);
        params["after"] = static_cast<Json::UInt64>(sent);
        params["after_term"] = static_cast<Json::UInt64>(before == nullptr ? 0 : before->term);
        params["entries"] = entries;
        params["primary_last"] = static_cast<Json::UInt64>(m_log.last());
        last_sent = clock::now();
        auto answer = co_await link.call("replicate", params, ship_timeout);
        if (answer) {
            // While the replica's log does not match at `sent`, the next attempt
            // starts at an earlier position. From the matching position on, the
            // replica replaces entries that another primary wrote.
            sent = (*answer)["received"].asUInt64();
            if (m_role_epoch == role_epoch && (*answer)["matched"].asBool()) {
                m_replica_positions[replica] = sent;
            }
            log_event(event::backend_shipped,
                      "to=" + cornellever::to_string(replica) + " through=" + std::to_string(sent));
            continue;
        }
        co_await sleep_for(ship_retry_interval);
    }
}

asio::awaitable<void> instance::apply_received() {
    for (;;) {
        const auto* next = m_log.at(m_data.applied_position() + 1);
        const bool due = next != nullptr && next->received_at + m_faults.replication_lag <= clock::now();
        if (m_role == role::primary || m_faults.frozen || !due) {
            co_await sleep_for(poll_interval);
            continue;
        }
        if (auto applied = m_data.apply(*next); !applied) {
            log_event(event::backend_refused, "instance=" + m_settings.name +
                                                  " position=" + std::to_string(next->position) + " reason=\"" +
                                                  applied.error().message + "\"");
            co_await sleep_for(poll_interval);
        }
    }
}

instance::answer instance::await_received(params in, rpc::connection&) {
    const auto term = in["term"].asUInt64();
    const auto position = in["position"].asUInt64();
    const auto wait = std::min(std::chrono::milliseconds{in.get("wait_ms", 0).asInt64()}, max_receive_wait);
    const auto until = clock::now() + wait;
    for (;;) {
        // Only a replica that is still in the term of the primary that wrote the
        // entry may confirm it: once the replica has adopted a later term, the
        // new primary may be elected without this entry.
        if (m_term > term) {
            co_return fail(errc::fenced, "instance " + m_settings.name + " is in term " + std::to_string(m_term));
        }
        if (m_term == term && m_log.holds(position, term)) {
            Json::Value out;
            out["received"] = static_cast<Json::UInt64>(m_log.last());
            out["term"] = static_cast<Json::UInt64>(m_term);
            co_return out;
        }
        if (clock::now() >= until) {
            co_return fail(errc::behind, "instance " + m_settings.name + " has not received it");
        }
        asio::steady_timer timer{m_executor, until};
        m_receive_waiters.insert(&timer);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        m_receive_waiters.erase(&timer);
    }
}

instance::answer instance::find_entry(params in, rpc::connection&) {
    const auto term = in["term"].asUInt64();
    if (m_role != role::primary || m_term != term) {
        co_return fail(errc::fenced,
                       "instance " + m_settings.name + " is not the primary of term " + std::to_string(term));
    }
    auto out = describe_log_end();
    out["held"] = m_log.holds(in["position"].asUInt64(), in["entry_term"].asUInt64());
    co_return out;
}

bool instance::majority_holds_log() const {
    const auto holds_all = [&](const auto& item) { return item.second >= m_log.last(); };
    const auto holders = 1 + static_cast<std::size_t>(std::ranges::count_if(m_replica_positions, holds_all));
    return holders >= majority_of(m_settings.replicas.size() + 1);
}

instance::answer instance::quiesce(params in, rpc::connection&) {
    if (m_role != role::primary || in["term"].asUInt64() != m_term) {
        co_return fail(errc::fenced, "instance " + m_settings.name + " is not the primary of that term");
    }
    const auto until = clock::now() + std::chrono::milliseconds{in.get("wait_ms", 0).asInt64()};
    const auto role_epoch = m_role_epoch;
    m_quiescing = true;
    while ((open_transactions() > 0 || !majority_holds_log()) && clock::now() < until && m_role_epoch == role_epoch) {
        co_await sleep_for(poll_interval);
    }
    Json::Value out;
    out["transactions"] = static_cast<Json::UInt64>(open_transactions());
    co_return out;
}

instance::answer instance::fence(params in, rpc::connection&) {
    const auto term = in["term"].asUInt64();
    if (term < m_term || (term == m_term && m_role == role::primary)) {
        co_return fail(errc::fenced, "instance " + m_settings.name + " keeps term " + std::to_string(m_term));
    }
    adopt_term(term);
    Json::Value out;
    out["received"] = static_cast<Json::UInt64>(m_log.last());
    out["received_term"] = static_cast<Json::UInt64>(m_log.end().term);
    co_return out;
}

instance::answer instance::promote(params in, rpc::connection&) {
    const auto term = in["term"].asUInt64();
    if (term != m_term) {
        co_return fail(errc::fenced, "instance " + m_settings.name + " keeps term " + std::to_string(m_term) +
                                         ", promotion was for term " + std::to_string(term));
    }
    if (m_role == role::primary) {
        co_return describe_log_end();
    }
    while (const auto* next = m_log.at(m_data.applied_position() + 1)) {
        if (auto applied = m_data.apply(*next); !applied) {
            co_return fail(errc::internal, "received writes do not apply: " + applied.error().message);
        }
    }
    m_settings.replicas.clear();
    for (const auto& item : in["replicas"]) {
        tcp::endpoint address;
        if (parse_endpoint(item.asString(), address)) {
            m_settings.replicas.push_back(address);
        }
    }
    ++m_role_epoch;
    m_role = role::primary;
    m_quiescing = false;
    // Appends an empty entry of the new term. A replica that confirms this entry
    // also holds every earlier entry, so a confirmation by a majority also makes
    // the writes of older terms durable.
    append({});
    start_shipping();
    co_return describe_log_end();
}

} // namespace cornellever::backend
