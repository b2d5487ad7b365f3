#pragma once

// What the pool tells `account_shares`, which decides which accounts are over their share.

namespace cornellever::routing {

/// Returns the servers that are eligible for a request and how many statements of this proxy each can run at once.
template <link_connector Connector>
std::vector<shared_server> service_pool<Connector>::shared_servers(const connection_request& request,
                                                                   time_point now) const {
    std::vector<shared_server> out;
    for (const auto& [id, at] : m_entries) {
        if (eligible(request, *at, now)) {
            out.push_back({id, std::min(max_concurrency(*at), at->server.slots)});
        }
    }
    return out;
}

template <link_connector Connector>
void service_pool<Connector>::note_slot_time(const entry& at, const std::string& account,
                                             std::chrono::nanoseconds took) {
    m_shares.record(account, at.server.id, charged_time(took, at.server.slots, at.in_flight), boot_clock::now());
}

template <link_connector Connector>
bool service_pool<Connector>::over_share(const connection_request& request, time_point now) const {
    return !request.account.empty() && !m_wait_queue.empty() &&
           m_shares.over_share(request.account, shared_servers(request, now), now);
}

template <link_connector Connector>
account_shares::claim service_pool<Connector>::claim_share(const connection_request& request, time_point now) {
    if (!m_account_traffic) {
        return m_shares.enqueue({}, {}, {}, false, now);
    }
    const auto expected = combined_capacity(server_capacities(now), servers_for(request, now)).statement_time;
    return m_shares.enqueue(request.account, shared_servers(request, now), expected, !m_wait_queue.empty(), now);
}

template <link_connector Connector>
std::vector<account_usage> service_pool<Connector>::usage_by_account(time_point now) const {
    return m_shares.usage(shared_servers({}, now), !m_wait_queue.empty(), now);
}

} // namespace cornellever::routing
