// Sessions of a read_your_writes route write and read at once, while the primaries of three services are replaced as
// planned. Checks that no read runs on a log that lacks a commit that was acknowledged to the same session before the
// read was sent. Usage: stale_read RECORD TEMPORARY_FOLDER TROUBLE COMMAND...

#include <filesystem>
#include <iostream>

#include "database.hpp"

namespace review {
namespace {

constexpr int proxies = 2;
constexpr int sessions_each = 4;
constexpr auto warm_up = milliseconds{4000};
constexpr auto run_time = milliseconds{70'000};
constexpr auto release_period = milliseconds{5000};
constexpr auto drain_time = milliseconds{7500};
constexpr const char* zones[] = {"nasr-hall", "maadi-hall", "giza-hall"};

/// One session of a client: a connection, its last acknowledged commit and the request that it waits for.
struct client_session {
    std::string name;
    std::string last_commit;
    std::string commit_position;
};

struct sent_request {
    client_session* session{nullptr};
    /// The session's last commit when the request was sent.
    std::string own_commit;
    std::string commit_position;
};

class test {
public:
    test(const std::string& record, std::string temporary, bool trouble, std::vector<std::string> command)
        : m_temporary{std::move(temporary)}
        , m_trouble{trouble}
        , m_command{std::move(command)}
        , m_record{record} {}

    int run() {
        const auto ports = free_ports(m_io, 1 + 4 * proxies);
        m_store = std::make_unique<platform_store>(m_io, ports[0],
                                                   [this](const std::string& service, const std::string& id,
                                                          const std::string& holder,
                                                          std::uint64_t token) -> std::optional<unsigned> {
                                                       for (auto& item : m_services) {
                                                           if (item->name() == service) {
                                                               return item->promote(id, holder, token);
                                                           }
                                                       }
                                                       return 409;
                                                   });
        for (int i = 0; i < 3; ++i) {
            start_service("ledger" + std::to_string(i + 1), static_cast<std::uint64_t>(i));
        }
        publish_configuration();
        for (int i = 0; i < proxies; ++i) {
            start_proxy(i, ports);
        }
        asio::co_spawn(m_io, lead_test(), asio::detached);
        m_io.run();
        m_processes.clear();
        int promotions = 0;
        for (const auto& item : m_services) {
            promotions += item->promotions();
        }
        std::ostringstream summary;
        summary << "reads " << m_reads << " writes " << m_writes << " promotions " << promotions << " stale reads "
                << m_stale << (m_problem.empty() ? "" : " could not run: " + m_problem);
        m_record.line(summary.str());
        std::cout << summary.str() << "\n";
        if (m_stale > 0) {
            return 1;
        }
        return !m_problem.empty() || m_writes == 0 || (m_trouble && promotions == 0) ? 2 : 0;
    }

private:
    void start_service(const std::string& name, std::uint64_t seed) {
        auto& service = *m_services.emplace_back(
            std::make_unique<database>(m_io, *m_store, m_record, name, database_figures{}, seed + 1));
        service.ran = [this, &service](const instance& at, const std::string& id, bool write, position commit) {
            check(service, at, id, write, commit);
        };
        for (const auto* zone : zones) {
            service.add(zone);
        }
    }

    void publish_configuration() {
        Json::Value out;
        out["Version"] = 3;
        for (const auto& item : m_services) {
            Json::Value route;
            route["Host"] = "db-" + item->name();
            route["Service"] = item->name();
            route["Kind"] = "read_your_writes";
            route["TimeoutMs"] = 800;
            route["TargetLatencyMs"] = 200;
            route["MaxStalenessMs"] = 2500;
            route["Priority"] = 2;
            out["Routes"].append(route);
            Json::Value service;
            service["Name"] = item->name();
            service["MaxConnections"] = 30;
            service["SyncReplicas"] = 0;
            out["Services"].append(service);
        }
        out["Limits"]["TxIdleMs"] = 2000;
        m_store->put("op", "config", write_json(out));
    }

    /// Starts the program with the settings that the platform would fill into the project's template.
    void start_proxy(int index, const std::vector<unsigned short>& ports) {
        const auto at = [&](int k) { return text_of(loopback(ports[static_cast<std::size_t>(1 + 4 * index + k)])); };
        const auto name = "front-" + std::to_string(index + 1);
        const auto path = m_temporary + "/" + name + ".ini";
        std::ofstream file{path};
        file << "[serve]\nname = " << name << "\ndata_center = " << zones[index] << "\ncallers = " << at(0)
             << "\nreadiness = " << at(1) << "\npeers = " << at(2) << "\nheartbeats = " << at(3)
             << "\nseeds = \nfirst_start = true\nstore = " << text_of(loopback(ports[0]))
             << "\norders = " << text_of(loopback(ports[0])) << "\ngrace_s = 6\n";
        file.close();
        m_callers.push_back(loopback(ports[static_cast<std::size_t>(1 + 4 * index)]));
        m_processes.push_back(std::make_unique<child_process>(m_command, path, m_temporary + "/" + name + ".log"));
    }

    /// The rule: a read runs on a log that lacks an acknowledged commit of its own session. A commit that a promotion
    /// rolled back does not count.
    void check(database& service, const instance& at, const std::string& id, bool write, position commit) {
        const auto found = m_sent.find(id);
        if (found == m_sent.end()) {
            m_record.line("request " + id + " runs at " + at.id + ", no client sent it");
            return;
        }
        const auto& sent = found->second;
        if (write) {
            ++m_writes;
            m_record.line(sent.session->name + " write " + id + " commits at " + at.id + " as " + commit.text());
            m_positions[id] = commit.text();
            return;
        }
        ++m_reads;
        m_record.line(sent.session->name + " read " + id + " runs at " + at.id + ", whose log is at " +
                      service.position_of(at).text());
        if (!sent.own_commit.empty() && !service.rolled_back().contains(sent.own_commit) &&
            !service.holds(at, sent.own_commit)) {
            ++m_stale;
            m_record.line("STALE: " + sent.session->name + " read " + id + " ran at " + at.id +
                          ", whose log stood at " + service.position_of(at).text() +
                          " and lacked the session's own commit " + sent.own_commit + " at " + sent.commit_position +
                          ", acknowledged before the read was sent");
        }
    }

    asio::awaitable<void> lead_test() {
        co_await sleep_for(warm_up);
        for (int i = 0; i < proxies; ++i) {
            for (std::size_t k = 0; k < m_services.size(); ++k) {
                for (int n = 0; n < sessions_each; ++n) {
                    const auto name =
                        "front-" + std::to_string(i + 1) + "/" + m_services[k]->name() + "/" + std::to_string(n);
                    const auto database = "db-" + m_services[k]->name();
                    asio::co_spawn(m_io, run_session(m_callers[static_cast<std::size_t>(i)], database, name),
                                   asio::detached);
                }
            }
        }
        if (m_trouble) {
            for (auto& item : m_services) {
                asio::co_spawn(m_io, release_primaries(*item), asio::detached);
                co_await sleep_for(milliseconds{700});
            }
        }
        const auto until = clock::now() + run_time;
        while (clock::now() < until && m_stale == 0) {
            co_await sleep_for(milliseconds{50});
            for (auto& item : m_processes) {
                if (!item->running()) {
                    m_problem = "a proxy has ended";
                }
            }
            if (!m_problem.empty()) {
                break;
            }
        }
        // Lets the reads in flight end.
        co_await sleep_for(milliseconds{300});
        m_io.stop();
    }

    /// Replaces the primary again and again: a new instance starts first, then the primary announces that it stops, and
    /// ends after the drain time.
    asio::awaitable<void> release_primaries(database& service) {
        for (int i = 0;; ++i) {
            co_await sleep_for(release_period - milliseconds{1000});
            auto& old = service.primary();
            service.add(old.zone);
            co_await sleep_for(milliseconds{1000});
            if (&service.primary() == &old && !old.draining) {
                service.drain(old);
                asio::co_spawn(m_io, end_drained(service, old), asio::detached);
            }
        }
    }

    asio::awaitable<void> end_drained(database& service, instance& old) {
        co_await sleep_for(drain_time);
        while (&service.primary() == &old) {
            co_await sleep_for(milliseconds{100});
        }
        service.stop(old);
    }

    asio::awaitable<void> run_session(tcp::endpoint proxy, std::string database, std::string name) {
        std::mt19937_64 random{std::hash<std::string>{}(name)};
        for (int n = 0;; ++n) {
            tcp::socket socket{m_io};
            boost::system::error_code ec;
            co_await socket.async_connect(proxy, asio::redirect_error(asio::use_awaitable, ec));
            if (ec) {
                co_await sleep_for(milliseconds{100});
                continue;
            }
            line_connection connection{std::move(socket)};
            auto session = std::make_unique<client_session>();
            session->name = name + "/" + std::to_string(n);
            const auto opening = "STARTUP " + database + " user\r\n";
            co_await connection.write(opening);
            const auto opened = co_await connection.next();
            if (opened && opened->starts_with("READY")) {
                bool open = true;
                while (open) {
                    const bool write = random() % 3 == 0;
                    open = co_await run_operation(connection, *session, write);
                }
            }
            m_sessions.push_back(std::move(session));
            co_await sleep_for(milliseconds{100});
        }
    }

    /// Sends one statement and reads its answer. Returns false when the session has to be closed.
    asio::awaitable<bool> run_operation(line_connection& connection, client_session& session, bool write) {
        const auto id = "q" + std::to_string(++m_last_id);
        m_sent[id] = {&session, session.last_commit, session.commit_position};
        m_record.line(session.name + (write ? " sends write " : " sends read ") + id);
        const std::string statement = write ? " WRITE 1a4 data-" + id : " READ 1a4";
        const bool sent = co_await connection.write("QUERY " + id + statement + "\r\n");
        if (!sent) {
            co_return false;
        }
        std::string outcome;
        for (;;) {
            auto line = co_await connection.next();
            if (!line) {
                m_record.line(session.name + " " + id + " gets no answer");
                co_return false;
            }
            if (line->starts_with("READY")) {
                break;
            }
            if (!line->starts_with("ROW")) {
                outcome = *line;
            }
        }
        m_record.line(session.name + " " + id + " gets " + outcome);
        if (!outcome.starts_with("COMPLETE")) {
            co_await sleep_for(milliseconds{20});
            co_return true;
        }
        if (write) {
            session.last_commit = id;
            session.commit_position = m_positions[id];
        } else {
            co_await sleep_for(milliseconds{5});
        }
        co_return true;
    }

    asio::io_context m_io{1};
    std::string m_temporary;
    bool m_trouble;
    std::vector<std::string> m_command;
    recorder m_record;
    std::unique_ptr<platform_store> m_store;
    std::vector<std::unique_ptr<database>> m_services;
    std::vector<tcp::endpoint> m_callers;
    std::vector<std::unique_ptr<child_process>> m_processes;
    std::vector<std::unique_ptr<client_session>> m_sessions;
    std::map<std::string, sent_request> m_sent;
    std::map<std::string, std::string> m_positions;
    std::uint64_t m_last_id{0};
    std::size_t m_reads{0};
    std::size_t m_writes{0};
    std::size_t m_stale{0};
    std::string m_problem;
};

} // namespace
} // namespace review

int main(int argc, char** argv) {
    if (argc < 5) {
        std::cerr << "usage: stale_read RECORD TEMPORARY_FOLDER TROUBLE COMMAND...\n";
        return 2;
    }
    try {
        review::test test{argv[1], argv[2], std::string{argv[3]} != "0", {argv + 4, argv + argc}};
        return test.run();
    } catch (const std::exception& problem) {
        std::cerr << problem.what() << "\n";
        return 2;
    }
}
