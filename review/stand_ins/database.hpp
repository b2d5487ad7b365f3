#pragma once

// A stand-in for a replicated database service: instances with a log each, asynchronous replication and promotions.

#include <algorithm>
#include <cmath>

#include <jsoncpp/json/json.h>

#include "store.hpp"

namespace review {

/// TERM.NUMBER of an instance's log.
struct position {
    std::uint64_t term{0};
    std::uint64_t number{0};

    [[nodiscard]] std::string text() const { return std::to_string(term) + "." + std::to_string(number); }
};

inline position parse_position(const std::string& text) {
    const auto dot = text.find('.');
    return {std::stoull(text.substr(0, dot)), std::stoull(text.substr(dot + 1))};
}

struct log_entry {
    std::uint64_t term{0};
    /// Id of the request that committed it.
    std::string request;
    /// When the instance applies it.
    clock::time_point due{};
};

struct instance {
    std::string id;
    unsigned short port{0};
    std::string zone;
    std::unique_ptr<tcp::acceptor> acceptor;
    std::set<line_connection*> connections;
    std::vector<log_entry> log;
    bool running{false};
    bool draining{false};
    int busy{0};
    int queued{0};
};

/// Figures of a deployment, in the words of its sheet.
struct database_figures {
    int slots{2};
    int queue{16};
    std::size_t max_connections{30};
    milliseconds new_connection{27};
    double work_mean_ms{9};
    double work_max_ms{22};
    double lag_mean_ms{20};
    double lag_max_ms{120};
    milliseconds promote{1000};
};

/// One service. Runs on one event loop.
class database {
public:
    /// Called for each read or write of a client that an instance runs, before it answers.
    using on_run = std::function<void(const instance& at, const std::string& request, bool write, position commit)>;

    database(asio::io_context& io, platform_store& store, recorder& record, std::string name, database_figures figures,
             std::uint64_t seed)
        : m_io{io}
        , m_store{store}
        , m_record{record}
        , m_name{std::move(name)}
        , m_figures{figures}
        , m_random{seed} {}

    on_run ran;

    [[nodiscard]] const std::string& name() const noexcept { return m_name; }
    [[nodiscard]] instance& primary() { return *m_primary; }
    [[nodiscard]] int promotions() const noexcept { return m_promotions; }
    /// Number of commits that promotions have rolled back so far.
    [[nodiscard]] const std::set<std::string>& rolled_back() const noexcept { return m_rolled_back; }

    /// Adds an instance that starts with the log of the primary. The first instance is the primary.
    instance& add(const std::string& zone) {
        auto& out = *m_instances.emplace_back(std::make_unique<instance>());
        out.id = "i-" + m_name + "-" + std::to_string(++m_added);
        out.zone = zone;
        out.acceptor = std::make_unique<tcp::acceptor>(m_io, loopback(0));
        out.port = out.acceptor->local_endpoint().port();
        out.running = true;
        if (m_primary == nullptr) {
            m_primary = &out;
            for (int i = 0; i < 20; ++i) {
                out.log.push_back({1, "earlier", clock::now()});
            }
        } else {
            out.log = m_primary->log;
            for (auto& entry : out.log) {
                entry.due = clock::now();
            }
        }
        publish(out);
        asio::co_spawn(m_io, accept(out), asio::detached);
        return out;
    }

    /// The instance announces that it stops soon.
    void drain(instance& at) {
        m_record.line(at.id + " is draining");
        at.draining = true;
        publish(at);
    }

    /// The instance ends.
    void stop(instance& at) {
        m_record.line(at.id + " has left");
        at.running = false;
        m_store.remove("servers", at.id);
        boost::system::error_code ignored;
        at.acceptor->close(ignored);
        for (auto* item : at.connections) {
            item->close();
        }
    }

    [[nodiscard]] bool knows(const std::string& id) const { return find(id) != nullptr; }

    /// POST /promote for this service; returns the HTTP status.
    unsigned promote(const std::string& id, const std::string& holder, std::uint64_t token) {
        auto* chosen = find(id);
        const bool refused = token < m_token || chosen == nullptr || !chosen->running;
        m_record.line("promote " + id + " from " + holder + " with fence " + std::to_string(token) +
                      (refused ? " answered 409" : " answered 200"));
        if (refused) {
            return 409;
        }
        m_token = token;
        if (chosen != m_primary) {
            asio::co_spawn(m_io, lead(*chosen, token), asio::detached);
        }
        return 200;
    }

    [[nodiscard]] std::size_t applied(const instance& at) const {
        if (&at == m_primary) {
            return at.log.size();
        }
        const auto now = clock::now();
        const auto first = std::ranges::find_if(at.log, [&](const auto& entry) { return entry.due > now; });
        return static_cast<std::size_t>(first - at.log.begin());
    }

    [[nodiscard]] position position_of(const instance& at) const {
        const auto count = applied(at);
        return {count == 0 ? 0 : at.log[count - 1].term, count};
    }

    /// Whether the part of the log that the instance has applied holds the commit of `request`.
    [[nodiscard]] bool holds(const instance& at, const std::string& request) const {
        const auto end = at.log.begin() + static_cast<std::ptrdiff_t>(applied(at));
        return std::any_of(at.log.begin(), end, [&](const auto& entry) { return entry.request == request; });
    }

private:
    struct session {
        line_connection* connection{nullptr};
        char state{'I'};
        bool read_only{false};
        std::uint64_t term{0};
        std::vector<std::string> writes;
    };

    [[nodiscard]] instance* find(const std::string& id) const {
        const auto found = std::ranges::find_if(m_instances, [&](const auto& item) { return item->id == id; });
        return found == m_instances.end() ? nullptr : found->get();
    }

    void publish(const instance& at) {
        Json::Value out;
        out["Service"] = m_name;
        out["Address"] = text_of(loopback(at.port));
        out["Zone"] = at.zone;
        out["Version"] = "v1";
        out["Slots"] = m_figures.slots;
        out["State"] = at.draining ? "draining" : "ready";
        out["WarmupLeftMs"] = 0;
        out["Seq"] = static_cast<Json::UInt64>(++m_sequence);
        out["DbRole"] = &at == m_primary ? "primary" : "replica";
        m_store.put("servers", at.id, write_json(out));
    }

    double spread(double mean, double most) {
        constexpr double sigma = 0.6;
        std::lognormal_distribution<double> out{std::log(mean) - sigma * sigma / 2, sigma};
        return std::min(out(m_random), most);
    }

    /// The named instance leads the next term with what it has received.
    asio::awaitable<void> lead(instance& chosen, std::uint64_t token) {
        co_await sleep_for(m_figures.promote);
        if (token < m_token || !chosen.running || &chosen == m_primary) {
            co_return;
        }
        auto& old = *m_primary;
        for (std::size_t i = chosen.log.size(); i < old.log.size(); ++i) {
            m_rolled_back.insert(old.log[i].request);
        }
        m_primary = &chosen;
        ++m_term;
        ++m_promotions;
        for (auto& item : m_instances) {
            item->log.resize(std::min(item->log.size(), chosen.log.size()));
        }
        m_record.line(chosen.id + " leads term " + std::to_string(m_term) + ", its log is at " +
                      position_of(chosen).text());
        publish(chosen);
        if (old.running) {
            publish(old);
        }
    }

    position commit(instance& at, std::string request) {
        at.log.push_back({m_term, std::move(request), clock::now()});
        const position out{m_term, at.log.size()};
        for (auto& item : m_instances) {
            if (item.get() != &at && item->running) {
                const auto lag =
                    std::chrono::duration<double, std::milli>(spread(m_figures.lag_mean_ms, m_figures.lag_max_ms));
                auto entry = at.log.back();
                entry.due = clock::now() + std::chrono::duration_cast<clock::duration>(lag);
                if (!item->log.empty()) {
                    entry.due = std::max(entry.due, item->log.back().due);
                }
                item->log.push_back(entry);
            }
        }
        return out;
    }

    asio::awaitable<void> accept(instance& at) {
        for (;;) {
            boost::system::error_code ec;
            auto socket = co_await at.acceptor->async_accept(asio::redirect_error(asio::use_awaitable, ec));
            if (ec) {
                co_return;
            }
            asio::co_spawn(m_io, serve(at, std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(instance& at, tcp::socket socket) {
        line_connection connection{std::move(socket)};
        at.connections.insert(&connection);
        session client{.connection = &connection};
        const bool opened = co_await open(at, connection);
        if (opened) {
            for (;;) {
                auto line = co_await connection.next();
                if (!line || !at.running) {
                    break;
                }
                const auto answer = co_await run(at, client, std::move(*line));
                if (!at.running) {
                    break;
                }
                const bool written = co_await connection.write(answer);
                if (!written) {
                    break;
                }
            }
        }
        at.connections.erase(&connection);
    }

    asio::awaitable<bool> open(instance& at, line_connection& connection) {
        auto line = co_await connection.next();
        if (!line || take_word(*line) != "STARTUP") {
            co_return false;
        }
        const auto service = take_word(*line);
        (void)take_word(*line);
        if (service != m_name || (!line->empty() && *line != at.id)) {
            co_await connection.write("ERROR MISROUTED -\r\n");
            co_return false;
        }
        if (at.connections.size() > m_figures.max_connections) {
            co_await connection.write("ERROR TOOMANY -\r\n");
            co_return false;
        }
        co_await sleep_for(m_figures.new_connection);
        const auto ready = "READY I " + position_of(at).text() + "\r\n";
        const bool written = co_await connection.write(ready);
        co_return written;
    }

    [[nodiscard]] std::string ready(const instance& at, const session& client) const {
        return std::string{"READY "} + client.state + " " + position_of(at).text() + "\r\n";
    }

    std::string refuse(const instance& at, session& client, const std::string& code) {
        client.state = client.state == 'I' ? 'I' : 'E';
        return "ERROR " + code + " " + at.id + "\r\n" + ready(at, client);
    }

    std::string complete(const instance& at, const session& client, const std::string& signature = "-") {
        return "COMPLETE " + signature + "\r\n" + ready(at, client);
    }

    void end_transaction(session& client) {
        client.state = 'I';
        client.writes.clear();
    }

    /// Waits for a slot and works; returns false if too many statements wait already.
    asio::awaitable<bool> work(instance& at) {
        if (at.busy >= m_figures.slots) {
            if (at.queued >= m_figures.queue) {
                co_return false;
            }
            ++at.queued;
            while (at.busy >= m_figures.slots) {
                co_await sleep_for(milliseconds{1});
            }
            --at.queued;
        }
        ++at.busy;
        co_await sleep_for(
            milliseconds{static_cast<long>(std::ceil(spread(m_figures.work_mean_ms, m_figures.work_max_ms)))});
        --at.busy;
        co_return true;
    }

    [[nodiscard]] bool lost_lead(const instance& at, const session& client) const {
        return client.state == 'T' && !client.read_only && (&at != m_primary || client.term != m_term);
    }

    asio::awaitable<std::string> run(instance& at, session& client, std::string line) {
        (void)take_word(line);
        const auto id = take_word(line);
        if (line.starts_with("AFTER ")) {
            (void)take_word(line);
            const auto wanted = parse_position(take_word(line));
            if (wanted.number > applied(at) || at.log[wanted.number - 1].term != wanted.term) {
                co_return refuse(at, client, "LAGGING");
            }
        }
        const auto word = take_word(line);
        if (word == "ROLLBACK") {
            end_transaction(client);
            co_return complete(at, client);
        }
        if (client.state == 'E') {
            co_return refuse(at, client, "MALFORMED");
        }
        if (word == "BEGIN") {
            if (line != "READ" && &at != m_primary) {
                co_return refuse(at, client, "READONLY");
            }
            client.state = 'T';
            client.read_only = line == "READ";
            client.term = m_term;
            co_return complete(at, client);
        }
        if (word == "STATUS" || word == "STEPDOWN") {
            const auto count = at.log.size();
            const auto received = std::to_string(count == 0 ? 0 : at.log.back().term) + "." + std::to_string(count);
            co_return std::string{"ROW "} + (&at == m_primary ? "primary " : "replica ") + std::to_string(m_term) +
                " " + received + " 0 0 " + std::to_string(at.busy) + " " + std::to_string(at.connections.size()) +
                "\r\n" + complete(at, client);
        }
        if (word != "READ" && word != "WRITE" && word != "COMMIT") {
            co_return complete(at, client);
        }
        const bool write = word == "WRITE";
        if (lost_lead(at, client) || (write && &at != m_primary)) {
            co_return refuse(at, client, "READONLY");
        }
        const bool admitted = co_await work(at);
        if (!admitted) {
            co_return refuse(at, client, "BUSY");
        }
        if (lost_lead(at, client) || (write && &at != m_primary)) {
            co_return refuse(at, client, "READONLY");
        }
        const auto signature = at.id + "." + std::to_string(++m_signatures);
        if (word == "COMMIT") {
            for (auto& item : client.writes) {
                ran(at, item, true, commit(at, item));
            }
            end_transaction(client);
            co_return complete(at, client, signature);
        }
        if (!write) {
            ran(at, id, false, {});
            co_return "ROW value-" + id + "\r\n" + complete(at, client, signature);
        }
        if (client.state == 'T') {
            client.writes.push_back(id);
        } else {
            ran(at, id, true, commit(at, id));
        }
        co_return complete(at, client, signature);
    }

    asio::io_context& m_io;
    platform_store& m_store;
    recorder& m_record;
    std::string m_name;
    database_figures m_figures;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<instance>> m_instances;
    instance* m_primary{nullptr};
    std::uint64_t m_term{1};
    std::uint64_t m_token{0};
    std::uint64_t m_sequence{0};
    std::uint64_t m_signatures{0};
    int m_added{0};
    int m_promotions{0};
    std::set<std::string> m_rolled_back;
};

} // namespace review
