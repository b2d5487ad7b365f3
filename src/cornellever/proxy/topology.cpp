#include "cornellever/proxy/topology.hpp"

#include <algorithm>

#include "cornellever/core/daemon.hpp"

namespace cornellever::proxy {

std::string database_key(std::string_view service, std::string_view database) {
    return std::string{service} + "/" + std::string{database};
}

void topology::reset(const config::cluster& config) {
    std::map<std::string, instance_view, std::less<>> next;
    for (const auto& svc : config.services) {
        for (const auto& db : svc.databases) {
            for (const auto& inst : db.instances) {
                instance_view view;
                view.key = database_key(svc.name, db.name) + "/" + inst.name;
                view.service = svc.name;
                view.database = db.name;
                view.name = inst.name;
                view.zone = inst.zone;
                view.connections = inst.connections;
                (void)parse_endpoint(inst.address, view.address);
                const auto previous = m_instances.find(view.key);
                if (previous != m_instances.end() && previous->second.address == view.address) {
                    view.primary = previous->second.primary;
                    view.term = previous->second.term;
                    view.position = previous->second.position;
                    view.position_term = previous->second.position_term;
                    view.log_lost = previous->second.log_lost;
                    view.refused = previous->second.refused;
                    view.staleness_ms = previous->second.staleness_ms;
                    view.primary_contact_age_ms = previous->second.primary_contact_age_ms;
                    view.leaving_since = previous->second.leaving_since;
                    view.last_heartbeat_at = previous->second.last_heartbeat_at;
                }
                next.emplace(view.key, std::move(view));
            }
        }
    }
    m_instances = std::move(next);
}

void topology::record(const heartbeat& report, std::chrono::steady_clock::time_point now) {
    const auto found = m_instances.find(report.key);
    if (found == m_instances.end()) {
        return;
    }
    auto& view = found->second;
    view.refused = report.refused;
    if (!report.answered) {
        return;
    }
    const bool same_leadership = view.primary && report.primary && view.term == report.term;
    view.log_lost = lacks_own_entries(view, report) || (same_leadership && view.log_lost);
    view.primary = report.primary;
    view.term = report.term;
    view.position = report.position;
    view.position_term = report.position_term;
    view.staleness_ms = report.staleness_ms;
    view.primary_contact_age_ms = report.primary_contact_age_ms;
    view.last_heartbeat_at = now;
}

/// Whether the instance `before` reports as the primary a position below one that its term had reached when the report
/// was requested. Only the primary of a term writes entries of that term, and its log never gets shorter.
bool topology::lacks_own_entries(const instance_view& before, const heartbeat& report) const {
    if (!report.primary) {
        return false;
    }
    return std::ranges::any_of(m_instances, [&](const auto& item) {
        const auto& view = item.second;
        return view.service == before.service && view.database == before.database &&
               view.position_term == report.term && view.position > report.position &&
               view.last_heartbeat_at < report.asked_at;
    });
}

void topology::set_leaving(const std::set<std::string, std::less<>>& leaving,
                           std::chrono::steady_clock::time_point now) {
    for (auto& [key, view] : m_instances) {
        const bool listed =
            leaving.contains(to_string(view.address)) || leaving.contains(view.address.address().to_string());
        if (!listed) {
            view.leaving_since.reset();
        } else if (!view.leaving_since) {
            view.leaving_since = now;
        }
    }
}

const instance_view* topology::primary(std::string_view service, std::string_view database,
                                       std::chrono::steady_clock::time_point now) const {
    const instance_view* best = nullptr;
    for (const auto& [key, view] : m_instances) {
        if (view.service != service || view.database != database || !view.primary || view.log_lost ||
            !view.healthy(now) || !view.accepts_new_work(now)) {
            continue;
        }
        if (best == nullptr || view.term > best->term) {
            best = &view;
        }
    }
    return best;
}

std::vector<const instance_view*> topology::replicas(std::string_view service, std::string_view database,
                                                     term_position last_write, std::string_view zone,
                                                     std::chrono::steady_clock::time_point now) const {
    auto out = members(service, database);
    std::erase_if(
        out, [&](const auto* view) { return view->primary || !view->healthy(now) || !view->accepts_new_work(now); });
    const auto rank = [&](const instance_view* view) {
        return std::pair{view->term >= last_write.term && view->position >= last_write.position, view->zone == zone};
    };
    std::ranges::stable_sort(out, [&](const auto* left, const auto* right) { return rank(left) > rank(right); });
    return out;
}

const instance_view* topology::find(std::string_view key) const {
    const auto found = m_instances.find(key);
    return found == m_instances.end() ? nullptr : &found->second;
}

std::vector<const instance_view*> topology::members(std::string_view service, std::string_view database) const {
    std::vector<const instance_view*> out;
    for (const auto& [key, view] : m_instances) {
        if (view.service == service && view.database == database) {
            out.push_back(&view);
        }
    }
    return out;
}

Json::Value topology::describe(std::chrono::steady_clock::time_point now) const {
    Json::Value out{Json::objectValue};
    for (const auto& [key, view] : m_instances) {
        auto& item = out[key];
        item["address"] = to_string(view.address);
        item["zone"] = view.zone;
        item["healthy"] = view.healthy(now);
        item["role"] = view.primary ? "primary" : "replica";
        item["term"] = static_cast<Json::UInt64>(view.term);
        item["position"] = static_cast<Json::UInt64>(view.position);
        item["log_lost"] = view.log_lost;
        item["leaving"] = view.leaving_since.has_value();
        item["staleness_ms"] = static_cast<Json::Int64>(view.staleness_ms);
    }
    return out;
}

} // namespace cornellever::proxy
