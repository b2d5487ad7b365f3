#include "cornellever/config/load.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <span>

#include "cornellever/config/model.hpp"
#include "cornellever/config/parsing.hpp"
#include "cornellever/core/asio.hpp"
#include "cornellever/ini/reader.hpp"

namespace cornellever::config {

namespace {

constexpr int max_connections = 10'000;
constexpr std::int64_t max_staleness_limit_ms = 3'600'000;
constexpr std::int64_t max_replica_wait_ms = 10'000;
constexpr std::int64_t min_transaction_idle_ms = 100;
constexpr std::int64_t max_transaction_idle_ms = 3'600'000;

/// Builds the configuration from INI entries and collects the findings (problems in the input).
class builder {
public:
    explicit builder(load_result& out) : m_out{out} {}

    void add(const ini::entry& item) {
        if (item.key.find_first_of(" \t") != std::string::npos) {
            // The INI parser also splits a line at ':'. The line "address 127.0.0.1:7101" therefore parses as the key
            // "address 127.0.0.1", and the message points to the missing '='.
            report(item.where, "'" + item.key + ":" + item.value + "' is not key = value: is '=' missing?");
            return;
        }
        const auto [kind, name] = split_section(item.section);
        if (kind == "cluster" && name.empty()) {
            add_cluster_key(item);
        } else if (kind == "service" && !name.empty()) {
            add_service_key(name, item);
        } else if (kind == "instance" && !name.empty()) {
            add_instance_key(name, item);
        } else {
            report(item.where, "unknown section [" + item.section +
                                   "]: expected [cluster], [service NAME] or [instance SERVICE/DATABASE/NAME]");
        }
    }

    void check_section(const ini::entry& header) {
        const auto section = split_section(header.section);
        const auto& [kind, name] = section;
        if (kind == "instance" && !name.empty()) {
            instance_path path;
            if (!split_instance_path(name, path)) {
                report(header.where, "instance name '" + name + "' must be SERVICE/DATABASE/NAME");
            } else {
                check_names(header.where, "name", std::array{path.service, path.database, path.instance});
            }
        } else if (kind == "service" && !name.empty()) {
            check_names(header.where, "service", std::span{&name, 1});
        }
    }

    void finish() {
        check_zones();
        check_services();
        assemble();
    }

private:
    struct pending_instance {
        instance_path path;
        instance value;
        ini::origin where;
        bool has_zone{false};
        bool has_address{false};
    };

    struct pending_service {
        service value;
        ini::origin where;
    };

    void report(const ini::origin& where, std::string message) {
        m_out.findings.push_back(ini::finding{where, std::move(message)});
    }

    /// Returns true if `item` is the first entry of its file that sets this key. Otherwise reports a finding and
    /// returns false. A later file may override a key of an earlier file.
    bool is_first_assignment(const ini::entry& item) {
        const auto key = item.section + "\n" + item.key;
        const auto [found, inserted] = m_assigned.emplace(key, item.where);
        if (!inserted && found->second.file == item.where.file) {
            report(item.where, "'" + item.key + "' is set twice in [" + item.section + "] (first at line " +
                                   std::to_string(found->second.line) + ")");
            return false;
        }
        found->second = item.where;
        return true;
    }

    /// Reports a finding for each item of `names` that is not a valid name.
    void check_names(const ini::origin& where, std::string_view what, std::span<const std::string> names) {
        for (const auto& name : names) {
            if (!is_name(name)) {
                report(where, std::string{what} + " '" + name + "' may hold only letters, digits, '.', '_' and '-'");
            }
        }
    }

    bool read_number(const ini::entry& item, std::int64_t low, std::int64_t high, std::int64_t& out) {
        if (!parse_int(item.value, out) || out < low || out > high) {
            report(item.where, "'" + item.key + "' must be a whole number from " + std::to_string(low) + " to " +
                                   std::to_string(high) + ", not '" + item.value + "'");
            return false;
        }
        return true;
    }

    void add_cluster_key(const ini::entry& item) {
        if (!is_first_assignment(item)) {
            return;
        }
        if (item.key == "name") {
            m_out.config.name = item.value;
            check_names(item.where, "name", std::span{&item.value, 1});
        } else if (item.key == "zones") {
            m_out.config.zones = split_list(item.value);
            check_names(item.where, "zone", m_out.config.zones);
            m_zones_origin = item.where;
        } else {
            report(item.where, "unknown key '" + item.key + "' in [cluster]: expected name or zones");
        }
    }

    void add_service_key(const std::string& name, const ini::entry& item) {
        auto& pending = m_services[name];
        if (pending.value.name.empty()) {
            pending.value.name = name;
            pending.where = item.where;
        }
        if (!is_first_assignment(item)) {
            return;
        }
        std::int64_t number = 0;
        if (item.key == "max_staleness_ms") {
            if (read_number(item, 0, max_staleness_limit_ms, number)) {
                pending.value.max_staleness = std::chrono::milliseconds{number};
            }
        } else if (item.key == "replica_wait_ms") {
            if (read_number(item, 0, max_replica_wait_ms, number)) {
                pending.value.replica_wait = std::chrono::milliseconds{number};
            }
        } else if (item.key == "transaction_idle_ms") {
            if (read_number(item, min_transaction_idle_ms, max_transaction_idle_ms, number)) {
                pending.value.transaction_idle = std::chrono::milliseconds{number};
            }
        } else if (item.key == "non_repeatable") {
            pending.value.non_repeatable = split_list(item.value);
            check_names(item.where, "kind of request", pending.value.non_repeatable);
        } else {
            report(item.where, "unknown key '" + item.key + "' in [service " + name +
                                   "]: expected max_staleness_ms, replica_wait_ms, transaction_idle_ms or "
                                   "non_repeatable");
        }
    }

    void add_instance_key(const std::string& name, const ini::entry& item) {
        instance_path path;
        if (!split_instance_path(name, path)) {
            return; // check_section reports the invalid name once, for the section header
        }
        auto& pending = m_instances[name];
        if (pending.value.name.empty()) {
            pending.path = path;
            pending.value.name = path.instance;
            pending.where = item.where;
        }
        if (!is_first_assignment(item)) {
            return;
        }
        set_instance_key(pending, item);
    }

    void set_instance_key(pending_instance& pending, const ini::entry& item) {
        std::int64_t number = 0;
        if (item.key == "zone") {
            pending.value.zone = item.value;
            pending.has_zone = true;
            pending.where = item.where;
        } else if (item.key == "address") {
            tcp::endpoint endpoint;
            if (!parse_endpoint(item.value, endpoint)) {
                report(item.where, "address '" + item.value + "' is not IP:PORT");
            }
            pending.value.address = item.value;
            pending.has_address = true;
        } else if (item.key == "connections") {
            if (read_number(item, 1, max_connections, number)) {
                pending.value.connections = static_cast<int>(number);
            }
        } else {
            report(item.where, "unknown key '" + item.key + "' in [instance " + pending.path.service + "/" +
                                   pending.path.database + "/" + pending.path.instance +
                                   "]: expected zone, address or connections");
        }
    }

    void check_zones() {
        if (m_out.config.zones.empty()) {
            report(m_zones_origin, "no zones: [cluster] needs zones = NAME, NAME, ...");
        }
    }

    void check_services() {
        std::map<std::string, ini::origin> addresses;
        for (auto& [name, pending] : m_instances) {
            check_instance(name, pending, addresses);
        }
        for (const auto& [name, pending] : m_services) {
            const bool used =
                std::ranges::any_of(m_instances, [&](const auto& item) { return item.second.path.service == name; });
            if (!used) {
                report(pending.where, "service '" + name + "' has no [instance " + name + "/DATABASE/NAME]");
            }
        }
    }

    void check_instance(const std::string& name, const pending_instance& pending,
                        std::map<std::string, ini::origin>& addresses) {
        if (!m_services.contains(pending.path.service)) {
            report(pending.where,
                   "instance '" + name + "' names service '" + pending.path.service + "', which no [service] declares");
        }
        if (!pending.has_zone) {
            report(pending.where, "instance '" + name + "' has no zone");
        } else if (!m_out.config.zones.empty() &&
                   std::ranges::find(m_out.config.zones, pending.value.zone) == m_out.config.zones.end()) {
            report(pending.where, "instance '" + name + "' is in zone '" + pending.value.zone +
                                      "', which [cluster] zones does not list");
        }
        if (!pending.has_address) {
            report(pending.where, "instance '" + name + "' has no address");
            return;
        }
        const auto [found, inserted] = addresses.emplace(pending.value.address, pending.where);
        if (!inserted) {
            report(pending.where, "instance '" + name + "' has address " + pending.value.address +
                                      ", already used at " + found->second.file + ":" +
                                      std::to_string(found->second.line));
        }
    }

    void assemble() {
        for (auto& [name, pending] : m_services) {
            m_out.config.services.push_back(pending.value);
        }
        for (const auto& [name, pending] : m_instances) {
            auto found = std::ranges::find(m_out.config.services, pending.path.service, &service::name);
            if (found == m_out.config.services.end()) {
                continue;
            }
            auto db = std::ranges::find(found->databases, pending.path.database, &database::name);
            if (db == found->databases.end()) {
                found->databases.push_back(database{pending.path.database, {}});
                db = std::prev(found->databases.end());
            }
            db->instances.push_back(pending.value);
        }
    }

    load_result& m_out;
    std::map<std::string, ini::origin> m_assigned;
    std::map<std::string, pending_service> m_services;
    std::map<std::string, pending_instance> m_instances;
    ini::origin m_zones_origin{"(configuration)", 0};
};

} // namespace

load_result from_document(const ini::document& document) {
    load_result out;
    out.findings = document.findings;
    builder build{out};
    for (const auto& header : document.sections) {
        build.check_section(header);
    }
    for (const auto& item : document.entries) {
        build.add(item);
    }
    build.finish();
    std::ranges::stable_sort(out.findings, [](const auto& left, const auto& right) {
        return std::tie(left.where.file, left.where.line) < std::tie(right.where.file, right.where.line);
    });
    return out;
}

load_result load_folder(const std::filesystem::path& folder) {
    return from_document(ini::read_folder(folder));
}

} // namespace cornellever::config
