#include <algorithm>

#include "cornellever/backend/client.hpp"
#include "cornellever/backend/instance.hpp"
#include "cornellever/core/daemon.hpp"
#include "cornellever/core/log.hpp"
#include "cornellever/core/quorum.hpp"
#include "cornellever/rpc/reconnecting_channel.hpp"

namespace cornellever::backend {

namespace {

constexpr auto poll_interval = std::chrono::milliseconds{2};
constexpr auto heartbeat_interval = std::chrono::milliseconds{50};
constexpr auto ship_deadline = std::chrono::milliseconds{1000};
constexpr auto ship_retry = std::chrono::milliseconds{100};
constexpr auto longest_wait = std::chrono::milliseconds{10'000};
constexpr std::size_t ship_batch = 256;

} // namespace

void instance::start_shipping() {
    m_shipped.clear();
    for (const auto& replica : m_settings.replicas) {
        asio::co_spawn(m_executor, ship(replica, m_reign), asio::detached);
    }
}

void instance::step_down() {
    ++m_reign;
    m_role = role::replica;
    m_quiescing = false;
    m_heard_at = clock::now();
    m_complete_as_of = m_heard_at;
    for (auto* item : m_clients) {
        if (item->in_transaction) {
            item->undo();
            item->aborted = true;
        }
    }
}

void instance::keep_term(std::uint64_t term) {
    if (term > m_term) {
        m_term = term;
        if (m_role == role::primary) {
            step_down();
        }
        wake_waiting();
    }
}

void instance::wake_waiting() {
    for (auto* wake : m_waiting) {
        wake->cancel();
    }
}

void instance::give_up_from(std::uint64_t position) {
    m_log.truncate_from(position);
    if (m_data.applied() < position) {
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
            give_up_from(entry.position);
        }
        entry.received_at = clock::now();
        m_log.receive(std::move(entry));
    }
    wake_waiting();
}

instance::answer instance::replicate(params in, rpc::connection& conn) {
    if (m_faults.cut) {
        conn.stop_answering = true;
        co_return fail(errc::outcome_unknown, "cut");
    }
    const auto term = in["term"].asUInt64();
    if (term < m_term || (term == m_term && m_role == role::primary)) {
        co_return fail(errc::fenced, "instance " + m_settings.name + " is in term " + std::to_string(m_term));
    }
    keep_term(term);
    m_heard_at = clock::now();
    const auto after = in["after"].asUInt64();
    Json::Value out;
    out["matched"] = after == 0 || m_log.holds(after, in["after_term"].asUInt64());
    if (!out["matched"].asBool()) {
        out["received"] = static_cast<Json::UInt64>(std::min(m_log.last(), after - 1));
        co_return out;
    }
    receive(in["entries"]);
    const auto through = after + in["entries"].size();
    if (through >= in["primary_last"].asUInt64()) {
        m_complete_as_of = m_heard_at;
    }
    out["received"] = static_cast<Json::UInt64>(through);
    co_return out;
}

asio::awaitable<void> instance::ship(tcp::endpoint replica, std::uint64_t reign) {
    rpc::reconnecting_channel link{m_executor, replica};
    // One entry back: a new primary's own first entry is at the end already.
    std::uint64_t sent = m_log.last() > 0 ? m_log.last() - 1 : 0;
    auto last_sent = clock::time_point{};
    while (m_reign == reign && m_role == role::primary) {
        const bool idle = m_log.last() == sent && clock::now() - last_sent < heartbeat_interval;
        if (idle || m_faults.cut || m_faults.frozen) {
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
        auto answer = co_await link.call("replicate", params, ship_deadline);
        if (answer) {
            // A replica whose log does not match here is asked further back,
            // until it does; it then gives up what another primary wrote.
            sent = (*answer)["received"].asUInt64();
            if (m_reign == reign && (*answer)["matched"].asBool()) {
                m_shipped[replica] = sent;
            }
            log_event(event::backend_shipped,
                      "to=" + cornellever::to_string(replica) + " through=" + std::to_string(sent));
            continue;
        }
        co_await sleep_for(ship_retry);
    }
}

asio::awaitable<void> instance::apply_received() {
    for (;;) {
        const auto* next = m_log.at(m_data.applied() + 1);
        const bool due = next != nullptr && next->received_at + m_faults.lag <= clock::now();
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
    const auto wait = std::min(std::chrono::milliseconds{in.get("wait_ms", 0).asInt64()}, longest_wait);
    const auto until = clock::now() + wait;
    for (;;) {
        // Only a replica that still keeps the writer's term may confirm: once
        // it promised a later one, the new primary may be chosen without this
        // entry.
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
        asio::steady_timer wake{m_executor, until};
        m_waiting.insert(&wake);
        boost::system::error_code ignored;
        co_await wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        m_waiting.erase(&wake);
    }
}

instance::answer instance::find_entry(params in, rpc::connection&) {
    const auto term = in["term"].asUInt64();
    if (m_role != role::primary || m_term != term) {
        co_return fail(errc::fenced,
                       "instance " + m_settings.name + " is not the primary of term " + std::to_string(term));
    }
    auto out = where_written();
    out["held"] = m_log.holds(in["position"].asUInt64(), in["entry_term"].asUInt64());
    co_return out;
}

bool instance::majority_holds_log() const {
    const auto whole = [&](const auto& item) { return item.second >= m_log.last(); };
    const auto holders = 1 + static_cast<std::size_t>(std::ranges::count_if(m_shipped, whole));
    return holders >= majority_of(m_settings.replicas.size() + 1);
}

instance::answer instance::quiesce(params in, rpc::connection&) {
    if (m_role != role::primary || in["term"].asUInt64() != m_term) {
        co_return fail(errc::fenced, "instance " + m_settings.name + " is not the primary of that term");
    }
    const auto until = clock::now() + std::chrono::milliseconds{in.get("wait_ms", 0).asInt64()};
    const auto reign = m_reign;
    m_quiescing = true;
    while ((open_transactions() > 0 || !majority_holds_log()) && clock::now() < until && m_reign == reign) {
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
    keep_term(term);
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
        co_return where_written();
    }
    while (const auto* next = m_log.at(m_data.applied() + 1)) {
        if (auto applied = m_data.apply(*next); !applied) {
            co_return fail(errc::internal, "received writes do not apply: " + applied.error().message);
        }
    }
    m_settings.replicas.clear();
    for (const auto& item : in["replicas"]) {
        tcp::endpoint where;
        if (parse_endpoint(item.asString(), where)) {
            m_settings.replicas.push_back(where);
        }
    }
    ++m_reign;
    m_role = role::primary;
    m_quiescing = false;
    // An empty entry of the new term: a replica that confirms it holds every
    // earlier one too, so writes of older terms become safe with it.
    append({});
    start_shipping();
    co_return where_written();
}

} // namespace cornellever::backend
