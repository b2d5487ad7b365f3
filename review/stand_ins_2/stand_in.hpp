// Stand-ins for the platform (metadata store and POST /promote), for replicated database instances and for clients,
// as PROTOCOL.md describes them. One process, one thread per connection, one lock for all state.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <jsoncpp/json/json.h>

namespace stand_in {

using steady = std::chrono::steady_clock;
using namespace std::chrono_literals;

inline const auto g_begin = steady::now();
inline std::mutex g_lock;
inline std::condition_variable g_changed;
inline std::FILE* g_record = nullptr;
inline std::mutex g_record_lock;

inline long now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - g_begin).count();
}

inline void record(const std::string& text) {
    const std::lock_guard held{g_record_lock};
    std::fprintf(g_record, "%7ld %s\n", now_ms(), text.c_str());
    std::fflush(g_record);
}

inline void sleep_ms(long ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds{ms});
}

// ---------------------------------------------------------------- sockets

inline sockaddr_in address_of(const std::string& ip, int port) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
    return out;
}

/// Listens on an address; ends the process with 2 if that is not possible.
inline int listen_on(const std::string& ip, int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto where = address_of(ip, port);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0 || ::listen(fd, 512) != 0) {
        record("cannot listen on " + ip + ":" + std::to_string(port));
        std::_Exit(2);
    }
    return fd;
}

inline void no_delay(int fd) {
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

inline bool send_all(int fd, const std::string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
        const auto n = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(n);
    }
    return true;
}

/// Reads messages that end with CR LF.
class line_reader {
public:
    explicit line_reader(int fd) : m_fd{fd} {}

    /// Returns the next line without CR LF; nothing if the connection ended or `limit_ms` has passed.
    std::optional<std::string> next(long limit_ms) {
        const auto until = now_ms() + limit_ms;
        for (;;) {
            const auto end = m_text.find("\r\n");
            if (end != std::string::npos) {
                auto line = m_text.substr(0, end);
                m_text.erase(0, end + 2);
                return line;
            }
            if (!fill(until - now_ms())) {
                return std::nullopt;
            }
        }
    }

    /// Returns exactly `count` bytes.
    std::optional<std::string> bytes(std::size_t count) {
        while (m_text.size() < count) {
            if (!fill(5000)) {
                return std::nullopt;
            }
        }
        auto out = m_text.substr(0, count);
        m_text.erase(0, count);
        return out;
    }

    /// Whether anything arrives within `limit_ms`.
    bool anything(long limit_ms) { return !m_text.empty() || fill(limit_ms); }

private:
    bool fill(long limit_ms) {
        pollfd item{m_fd, POLLIN, 0};
        if (limit_ms <= 0 || ::poll(&item, 1, static_cast<int>(limit_ms)) <= 0) {
            return false;
        }
        char chunk[8192];
        const auto n = ::recv(m_fd, chunk, sizeof chunk, 0);
        if (n <= 0) {
            return false;
        }
        m_text.append(chunk, static_cast<std::size_t>(n));
        return true;
    }

    int m_fd;
    std::string m_text;
};

inline std::string word(std::string& rest) {
    const auto at = rest.find(' ');
    auto out = rest.substr(0, at);
    rest = at == std::string::npos ? std::string{} : rest.substr(at + 1);
    return out;
}

// ---------------------------------------------------------------- HTTP

struct http_request {
    std::string verb, path;
    std::map<std::string, std::string> query, headers;
    std::string body;
};

inline std::optional<http_request> read_request(line_reader& in) {
    const auto first = in.next(600'000);
    if (!first) {
        return std::nullopt;
    }
    http_request out;
    auto rest = *first;
    out.verb = word(rest);
    auto target = word(rest);
    const auto mark = target.find('?');
    out.path = target.substr(0, mark);
    if (mark != std::string::npos) {
        std::stringstream items{target.substr(mark + 1)};
        for (std::string item; std::getline(items, item, '&');) {
            const auto equals = item.find('=');
            out.query[item.substr(0, equals)] = equals == std::string::npos ? "" : item.substr(equals + 1);
        }
    }
    for (;;) {
        const auto line = in.next(5000);
        if (!line) {
            return std::nullopt;
        }
        if (line->empty()) {
            break;
        }
        const auto colon = line->find(':');
        auto name = line->substr(0, colon);
        for (auto& c : name) {
            c = static_cast<char>(std::tolower(c));
        }
        auto value = colon == std::string::npos ? "" : line->substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        out.headers[name] = value;
    }
    if (const auto length = out.headers.find("content-length"); length != out.headers.end()) {
        auto body = in.bytes(std::stoul(length->second));
        if (!body) {
            return std::nullopt;
        }
        out.body = std::move(*body);
    }
    return out;
}

struct http_answer {
    int status{200};
    std::string body{"{}"};
};

/// HTTP connections with a lower number have gone silent for good: they stay open, and nothing is answered on them.
inline std::atomic<long> g_silent_before{0};
inline std::atomic<long> g_http_connections{0};

inline void serve_http(const std::string& ip, int port, std::function<http_answer(const http_request&)> handle) {
    const int listener = listen_on(ip, port);
    std::thread{[listener, handle = std::move(handle)] {
        for (;;) {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            no_delay(fd);
            std::thread{[fd, handle, number = g_http_connections++] {
                line_reader in{fd};
                while (const auto incoming = read_request(in)) {
                    const auto out = handle(*incoming);
                    while (number < g_silent_before) {
                        sleep_ms(1000);
                    }
                    if (!send_all(fd, "HTTP/1.1 " + std::to_string(out.status) +
                                          " -\r\nContent-Type: application/json\r\nContent-Length: " +
                                          std::to_string(out.body.size()) + "\r\n\r\n" + out.body)) {
                        break;
                    }
                }
                ::close(fd);
            }}.detach();
        }
    }}.detach();
}

inline std::string to_text(const Json::Value& value) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

inline Json::Value from_text(const std::string& text) {
    Json::Value out;
    std::istringstream in{text};
    Json::CharReaderBuilder builder;
    std::string errors;
    Json::parseFromStream(builder, in, &out, &errors);
    return out;
}

inline std::string base64(const std::string& in) {
    static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3) {
        const auto at = [&](std::size_t k) { return i + k < in.size() ? static_cast<unsigned char>(in[i + k]) : 0U; };
        const unsigned bits = at(0) << 16U | at(1) << 8U | at(2);
        out += digits[bits >> 18U & 63U];
        out += digits[bits >> 12U & 63U];
        out += i + 1 < in.size() ? digits[bits >> 6U & 63U] : '=';
        out += i + 2 < in.size() ? digits[bits & 63U] : '=';
    }
    return out;
}

// ---------------------------------------------------------------- the platform's metadata store

class metadata_store {
public:
    /// A write of the operator or of an instance; its return is the acknowledgement.
    void put(const std::string& table, const std::string& key, const std::string& value) {
        const std::lock_guard held{g_lock};
        ++m_version;
        write(table, "", key, base64(value));
        g_changed.notify_all();
    }

    void remove(const std::string& table, const std::string& key) {
        const std::lock_guard held{g_lock};
        ++m_version;
        write(table, "", key, std::nullopt);
        g_changed.notify_all();
    }

    http_answer handle(const http_request& incoming) {
        if (incoming.path == "/rows-tx") {
            sleep_ms(4);
            return transact(from_text(incoming.body));
        }
        if (incoming.path == "/rows-get") {
            return list(incoming);
        }
        if (incoming.path == "/rows-feed") {
            return feed(incoming);
        }
        return {404};
    }

private:
    struct row {
        std::string value;
        std::uint64_t version{0};
    };
    struct change {
        std::uint64_t version;
        std::string table, part, key;
    };
    using place = std::pair<std::string, std::string>;

    static std::string parameter(const http_request& from, const std::string& name) {
        const auto found = from.query.find(name);
        return found == from.query.end() ? std::string{} : found->second;
    }

    void write(const std::string& table, const std::string& part, const std::string& key,
               std::optional<std::string> value) {
        if (value) {
            m_rows[{table, part}][key] = {std::move(*value), m_version};
        } else {
            m_rows[{table, part}].erase(key);
        }
        m_changes.push_back({m_version, table, part, key});
    }

    Json::Value encode(const place& at, const std::string& key) {
        Json::Value out;
        out["TableName"] = at.first;
        out["part"] = at.second;
        out["Key"] = key;
        const auto found = m_rows[at].find(key);
        if (found == m_rows[at].end()) {
            out["Deleted"] = true;
        } else {
            out["Value"] = found->second.value;
            out["Ver"] = static_cast<Json::UInt64>(found->second.version);
        }
        return out;
    }

    http_answer answer(Json::Value out, int status = 200) {
        out["Ver"] = static_cast<Json::UInt64>(m_version);
        out["NowMs"] = static_cast<Json::Int64>(now_ms());
        return {status, to_text(out)};
    }

    http_answer transact(const Json::Value& body) {
        const std::lock_guard held{g_lock};
        bool holds = true;
        Json::Value current{Json::arrayValue};
        for (const auto& item : body["ExpectedRev"]) {
            const place at{item["TableName"].asString(), item["part"].asString()};
            const auto key = item["Key"].asString();
            const auto found = m_rows[at].find(key);
            const auto version = found == m_rows[at].end() ? 0 : found->second.version;
            holds = holds && version == item["Ver"].asUInt64();
            current.append(encode(at, key));
        }
        if (!holds) {
            Json::Value out;
            out["rows"] = current;
            return answer(out, 412);
        }
        ++m_version;
        for (const auto& item : body["Put"]) {
            write(item["TableName"].asString(), item["part"].asString(), item["Key"].asString(),
                  item["Value"].asString());
        }
        for (const auto& item : body["Remove"]) {
            write(item["TableName"].asString(), item["part"].asString(), item["Key"].asString(), std::nullopt);
        }
        g_changed.notify_all();
        return answer(Json::Value{Json::objectValue});
    }

    http_answer list(const http_request& incoming) {
        const std::lock_guard held{g_lock};
        const place at{parameter(incoming, "TableName"), parameter(incoming, "part")};
        const auto from = parameter(incoming, "From");
        const auto to = parameter(incoming, "To");
        const auto limit_text = parameter(incoming, "Limit");
        const auto limit = limit_text.empty() ? 500U : static_cast<unsigned>(std::stoul(limit_text));
        Json::Value out;
        out["rows"] = Json::arrayValue;
        out["HasMore"] = false;
        for (const auto& [key, item] : m_rows[at]) {
            if (key < from || (!to.empty() && key >= to)) {
                continue;
            }
            if (out["rows"].size() >= limit) {
                out["HasMore"] = true;
                break;
            }
            out["rows"].append(encode(at, key));
        }
        return answer(out);
    }

    http_answer feed(const http_request& incoming) {
        std::unique_lock held{g_lock};
        const auto table = parameter(incoming, "TableName");
        const auto after = std::stoull(parameter(incoming, "after"));
        const auto until = steady::now() + std::chrono::milliseconds{std::stol(parameter(incoming, "WaitMs"))};
        for (;;) {
            Json::Value out;
            out["rows"] = Json::arrayValue;
            for (const auto& item : m_changes) {
                if (item.version > after && item.table == table) {
                    auto one = encode({item.table, item.part}, item.key);
                    one["Ver"] = static_cast<Json::UInt64>(item.version);
                    out["rows"].append(one);
                }
            }
            if (!out["rows"].empty() || steady::now() >= until) {
                return answer(out);
            }
            g_changed.wait_until(held, until);
        }
    }

    std::map<place, std::map<std::string, row>> m_rows;
    std::vector<change> m_changes;
    std::uint64_t m_version{0};
};

// ---------------------------------------------------------------- instances

struct position {
    std::uint64_t term{0}, number{0};
    [[nodiscard]] std::string text() const { return std::to_string(term) + "." + std::to_string(number); }
};

struct log_entry {
    std::uint64_t term{0};
    std::string id;
    /// On a replica: when the entry is applied.
    long due{0};
};

struct service;

struct instance {
    service* of{nullptr};
    std::string id, zone, ip;
    int port{8080};
    bool running{true};
    bool draining{false};
    /// Receives nothing from the primary.
    bool deaf{false};
    /// Was made a replica by STEPDOWN, and no other instance was promoted since.
    bool stepped_down{false};
    /// Receives nothing until RESUME or a promote, because of PAUSE.
    bool paused{false};
    int listener{-1};
    long lag_ms{20};
    std::uint64_t term{1};
    std::vector<log_entry> log;
    int busy{0};
    std::set<int> connections;
    std::uint64_t signatures{0};

    [[nodiscard]] bool leads() const;
    [[nodiscard]] std::size_t applied() const {
        if (leads()) {
            return log.size();
        }
        std::size_t out = 0;
        while (out < log.size() && log[out].due <= now_ms()) {
            ++out;
        }
        return out;
    }
    [[nodiscard]] position at(std::size_t count) const { return {count == 0 ? term : log[count - 1].term, count}; }
    [[nodiscard]] bool has_applied(const position& wanted) const {
        return wanted.number == 0 || (wanted.number <= applied() && log[wanted.number - 1].term == wanted.term);
    }
    [[nodiscard]] bool holds(const std::string& request) const {
        for (const auto& item : log) {
            if (item.id == request) {
                return true;
            }
        }
        return false;
    }
    [[nodiscard]] bool has_applied(const std::string& request) const {
        const auto count = applied();
        for (std::size_t i = 0; i < count; ++i) {
            if (log[i].id == request) {
                return true;
            }
        }
        return false;
    }
};

struct service {
    std::string name;
    int sync_replicas{0};
    std::size_t slots{2};
    std::size_t max_connections{16};
    std::uint64_t term{1}, token{0};
    instance* primary{nullptr};
    std::vector<std::unique_ptr<instance>> instances;
};

inline bool instance::leads() const {
    return of->primary == this && !stepped_down;
}

/// Called with the lock held, for each statement of a client that an instance runs.
using on_run = std::function<void(instance&, const std::string& id, const std::string& text)>;
/// Called with the lock held, when an instance becomes the primary.
using on_promoted = std::function<void(instance&)>;

class database_fleet {
public:
    explicit database_fleet(metadata_store& store) : m_store{store} {}

    on_run ran{[](instance&, const std::string&, const std::string&) {}};
    on_promoted promoted{[](instance&) {}};
    /// Called with the lock held, when an order to promote an instance has been accepted.
    on_promoted ordered{[](instance&) {}};
    long promote_ms{1000};

    service& add(const std::string& name, int sync_replicas, std::size_t entries, const std::string& prefix,
                 int first_address) {
        static const char* const zones[] = {"walu", "laucala", "nabua"};
        auto& out = *m_services.emplace_back(std::make_unique<service>());
        out.name = name;
        out.sync_replicas = sync_replicas;
        for (int i = 0; i < 3; ++i) {
            auto item = std::make_unique<instance>();
            item->of = &out;
            item->id = "i-" + name + "-" + std::to_string(i);
            item->zone = zones[i];
            item->ip = prefix + "." + std::to_string(first_address + i);
            for (std::size_t k = 0; k < entries; ++k) {
                item->log.push_back({1, "before-" + std::to_string(k), 0});
            }
            out.instances.push_back(std::move(item));
        }
        out.primary = out.instances.front().get();
        return out;
    }

    void start() {
        for (auto& of : m_services) {
            for (auto& item : of->instances) {
                listen(*item);
            }
        }
        std::thread{[this] { replicate(); }}.detach();
        std::thread{[this] { register_all(); }}.detach();
    }

    /// The instance ends at once and keeps its log.
    void crash(instance& at) {
        const std::lock_guard held{g_lock};
        at.running = false;
        // Connections to a port without a listener are reset.
        ::shutdown(at.listener, SHUT_RDWR);
        for (const int fd : at.connections) {
            ::shutdown(fd, SHUT_RDWR);
        }
        g_changed.notify_all();
    }

    http_answer handle_promotion(const http_request& incoming) {
        const auto body = from_text(incoming.body);
        const auto name = body["Service"].asString();
        const auto id = body["Id"].asString();
        const auto header = [&](const char* key) {
            const auto found = incoming.headers.find(key);
            return found == incoming.headers.end() ? std::string{"0"} : found->second;
        };
        const auto token = std::stoull(header("x-cornellever-fencing-token"));
        const std::lock_guard held{g_lock};
        instance* found = nullptr;
        for (auto& of : m_services) {
            for (auto& item : of->instances) {
                if (of->name == name && item->id == id) {
                    found = item.get();
                }
            }
        }
        const bool refused = found == nullptr || !found->running || token < found->of->token;
        record("order promote service=" + name + " id=" + id + " holder=" + header("x-cornellever-duty-holder") +
               " token=" + std::to_string(token) + (refused ? " answered=409" : " answered=200"));
        if (refused) {
            return {409};
        }
        found->of->token = token;
        if (!found->leads()) {
            ordered(*found);
            std::thread{[this, found, token] { complete_promotion(*found, token); }}.detach();
        }
        return {200};
    }

private:
    struct session {
        char state{'I'};
        bool plain{false};
        std::uint64_t term{0};
        std::vector<std::string> writes;
        std::map<std::string, std::string> values, prepared;
        void end() {
            state = 'I';
            plain = false;
            writes.clear();
        }
    };

    void complete_promotion(instance& candidate, std::uint64_t token) {
        sleep_ms(promote_ms);
        const std::lock_guard held{g_lock};
        auto& of = *candidate.of;
        if (token < of.token || !candidate.running || candidate.leads()) {
            return;
        }
        candidate.term = ++of.term;
        for (auto& item : of.instances) {
            item->stepped_down = false;
            item->paused = false;
        }
        of.primary = &candidate;
        record("promoted " + candidate.id + " term=" + std::to_string(of.term) +
               " log=" + candidate.at(candidate.log.size()).text());
        promoted(candidate);
        g_changed.notify_all();
    }

    /// Replicas receive what the primary committed about a millisecond later.
    void replicate() {
        for (;;) {
            sleep_ms(1);
            const std::lock_guard held{g_lock};
            for (auto& of : m_services) {
                if (!of->primary->running) {
                    continue;
                }
                bool any = false;
                for (auto& item : of->instances) {
                    any = (item.get() != of->primary && item->running && !item->deaf && !item->paused &&
                           receive(*item)) ||
                          any;
                }
                if (any) {
                    g_changed.notify_all();
                }
            }
        }
    }

    static bool receive(instance& at) {
        const auto& from = at.of->primary->log;
        at.term = at.of->term;
        auto& log = at.log;
        while (!log.empty() && (log.size() > from.size() || log.back().id != from[log.size() - 1].id ||
                                log.back().term != from[log.size() - 1].term)) {
            log.pop_back();
        }
        const bool any = log.size() < from.size();
        while (log.size() < from.size()) {
            auto item = from[log.size()];
            item.due = now_ms() + at.lag_ms;
            log.push_back(std::move(item));
        }
        return any;
    }

    static std::string registration(const instance& at) {
        Json::Value out;
        out["Service"] = at.of->name;
        out["Address"] = at.ip + ":" + std::to_string(at.port);
        out["Zone"] = at.zone;
        out["Version"] = "v1";
        out["Slots"] = static_cast<Json::UInt64>(at.of->slots);
        out["State"] = at.draining ? "draining" : "ready";
        out["WarmupLeftMs"] = 0;
        out["DbRole"] = at.leads() ? "primary" : "replica";
        out["Seq"] = 4;
        return to_text(out);
    }

    /// Keeps the rows of the table of servers. A row goes three heartbeats after its instance has stopped.
    void register_all() {
        constexpr long silence_ms = 3 * 1200;
        std::map<std::string, std::string> written;
        std::map<std::string, long> running_at;
        for (;;) {
            std::map<std::string, std::string> current;
            {
                const std::lock_guard held{g_lock};
                for (auto& of : m_services) {
                    for (auto& item : of->instances) {
                        if (item->running) {
                            running_at[item->id] = now_ms();
                            current[item->id] = registration(*item);
                        }
                    }
                }
            }
            for (const auto& [id, text] : current) {
                if (written[id] != text) {
                    m_store.put("servers", id, text);
                    written[id] = text;
                }
            }
            for (auto& [id, text] : written) {
                if (!text.empty() && !current.contains(id) && now_ms() - running_at[id] > silence_ms) {
                    m_store.remove("servers", id);
                    text.clear();
                }
            }
            sleep_ms(20);
        }
    }

    void listen(instance& at) {
        at.listener = listen_on(at.ip, at.port);
        std::thread{[this, &at, listener = at.listener] {
            for (;;) {
                const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) {
                    return;
                }
                {
                    const std::lock_guard held{g_lock};
                    if (!at.running) {
                        ::close(fd);
                        return;
                    }
                    at.connections.insert(fd);
                }
                no_delay(fd);
                std::thread{[this, &at, fd] {
                    serve(at, fd);
                    {
                        const std::lock_guard held{g_lock};
                        at.connections.erase(fd);
                    }
                    ::close(fd);
                }}.detach();
            }
        }}.detach();
    }

    /// Holds one of the instance's slots for `ms`.
    static bool use_slot(instance& at, long ms) {
        std::unique_lock held{g_lock};
        g_changed.wait(held, [&] { return !at.running || at.busy < static_cast<int>(at.of->slots); });
        if (!at.running) {
            return false;
        }
        ++at.busy;
        held.unlock();
        sleep_ms(ms);
        held.lock();
        --at.busy;
        g_changed.notify_all();
        return at.running;
    }

    static std::string ready(const instance& at, const session& client) {
        return std::string{"READY "} + client.state + " " + at.at(at.applied()).text() + "\r\n";
    }

    static std::string error(const instance& at, session& client, const std::string& code) {
        if (client.state != 'I') {
            client.state = 'E';
        }
        return "ERROR " + code + " " + at.id + "\r\n" + ready(at, client);
    }

    void serve(instance& at, int fd) {
        line_reader in{fd};
        auto first = in.next(10'000);
        if (!first || word(*first) != "STARTUP") {
            return;
        }
        const auto name = word(*first);
        word(*first);
        session client;
        if (name != at.of->name || (!first->empty() && *first != at.id)) {
            send_all(fd, "ERROR MISROUTED " + at.id + "\r\n");
            return;
        }
        {
            const std::lock_guard held{g_lock};
            if (at.connections.size() > at.of->max_connections) {
                send_all(fd, "ERROR TOOMANY " + at.id + "\r\n");
                return;
            }
        }
        if (!use_slot(at, 12)) {
            return;
        }
        {
            const std::lock_guard held{g_lock};
            send_all(fd, ready(at, client));
        }
        while (auto line = in.next(600'000)) {
            auto rest = *line;
            if (word(rest) != "QUERY") {
                return;
            }
            const auto id = word(rest);
            const auto what = rest.substr(0, rest.find(' '));
            const bool works = id != "-" || what == "STATUS";
            if (works && !use_slot(at, id == "-" ? 1 : 3)) {
                return;
            }
            const auto out = run(at, client, id, rest);
            if (out.empty() || !send_all(fd, out)) {
                return;
            }
        }
    }

    std::string run(instance& at, session& client, const std::string& id, std::string rest) {
        std::unique_lock held{g_lock};
        if (!at.running) {
            return "";
        }
        auto text = rest;
        if (text.starts_with("AFTER ")) {
            word(text);
            auto wanted = word(text);
            const auto dot = wanted.find('.');
            if (!at.has_applied(position{std::stoull(wanted.substr(0, dot)), std::stoull(wanted.substr(dot + 1))})) {
                return error(at, client, "LAGGING");
            }
        }
        return id == "-" ? run_own(at, client, text) : run_client(held, at, client, id, text);
    }

    std::string run_own(instance& at, session& client, const std::string& text) {
        const std::string done = "COMPLETE -\r\n";
        auto rest = text;
        const auto what = word(rest);
        if (what == "STATUS" || what == "STEPDOWN" || what == "PAUSE" || what == "RESUME") {
            if (what != "STATUS") {
                record("order " + text + " to " + at.id);
            }
            const auto term = rest.empty() ? 0 : std::stoull(rest);
            at.stepped_down = at.stepped_down || (what == "STEPDOWN" && at.leads() && at.term < term);
            at.paused = what == "RESUME" ? false : at.paused || (what == "PAUSE" && !at.leads() && term > at.of->term);
            const auto count = at.applied();
            std::ostringstream out;
            out << "ROW " << (at.leads() ? "primary" : "replica") << ' ' << at.term << ' '
                << at.at(at.log.size()).text() << " 0 " << (count == at.log.size() ? 0 : at.lag_ms) << ' ' << at.busy
                << ' ' << at.connections.size() << "\r\n";
            return out.str() + done + ready(at, client);
        }
        if (what == "ROLLBACK") {
            client.end();
            return done + ready(at, client);
        }
        if (client.state == 'E') {
            return error(at, client, "MALFORMED");
        }
        if (what == "BEGIN") {
            if (client.state != 'I') {
                return error(at, client, "MALFORMED");
            }
            if (rest != "READ" && !at.leads()) {
                return error(at, client, "READONLY");
            }
            client.state = 'T';
            client.plain = rest != "READ";
            client.term = at.term;
            return done + ready(at, client);
        }
        if (client.plain && (!at.leads() || client.term != at.term)) {
            return error(at, client, "READONLY");
        }
        if (what == "SET") {
            const auto name = word(rest);
            client.values[name] = rest;
        } else if (what == "PREPARE") {
            const auto name = word(rest);
            client.prepared[name] = rest;
        } else if (what == "DEALLOCATE") {
            client.prepared.erase(rest);
        } else if (what == "RESET") {
            client.values.clear();
            client.prepared.clear();
        } else {
            return error(at, client, "MALFORMED");
        }
        return done + ready(at, client);
    }

    std::string run_client(std::unique_lock<std::mutex>& held, instance& at, session& client, const std::string& id,
                           const std::string& text) {
        if (client.state == 'E') {
            return error(at, client, "MALFORMED");
        }
        const bool lost_lead = client.plain && (!at.leads() || client.term != at.term);
        const bool writes = text.starts_with("WRITE ");
        if (text == "COMMIT") {
            if (client.state != 'T') {
                return error(at, client, "MALFORMED");
            }
            if (lost_lead && !client.writes.empty()) {
                return error(at, client, "READONLY");
            }
            const auto items = client.writes;
            client.end();
            ran(at, id, text);
            for (const auto& item : items) {
                at.log.push_back({at.term, item, now_ms()});
            }
            if (!items.empty() && !await_sync(held, at, items.back())) {
                return at.running ? error(at, client, "TIMEOUT") : "";
            }
            return "COMPLETE " + sign(at) + "\r\n" + ready(at, client);
        }
        if (lost_lead || (writes && !at.leads())) {
            return error(at, client, "READONLY");
        }
        if (!writes && !text.starts_with("READ ")) {
            return error(at, client, "MALFORMED");
        }
        ran(at, id, text);
        if (!writes) {
            return "ROW row-of-" + id + "\r\nCOMPLETE " + sign(at) + "\r\n" + ready(at, client);
        }
        if (client.state == 'T') {
            client.writes.push_back(id);
            return "COMPLETE " + sign(at) + "\r\n" + ready(at, client);
        }
        at.log.push_back({at.term, id, now_ms()});
        if (!await_sync(held, at, id)) {
            return at.running ? error(at, client, "TIMEOUT") : "";
        }
        return "COMPLETE " + sign(at) + "\r\n" + ready(at, client);
    }

    /// With `SyncReplicas` 1, a commit is acknowledged once one replica, draining or not, has received it.
    static bool await_sync(std::unique_lock<std::mutex>& held, instance& at, const std::string& id) {
        if (at.of->sync_replicas == 0) {
            return true;
        }
        const auto received = [&] {
            for (const auto& item : at.of->instances) {
                if (item.get() != &at && item->running && item->holds(id)) {
                    return true;
                }
            }
            return false;
        };
        g_changed.wait_for(held, 700ms, [&] { return !at.running || !at.leads() || received(); });
        return at.running && at.leads() && received();
    }

    static std::string sign(instance& at) { return at.id + "." + std::to_string(++at.signatures); }

    metadata_store& m_store;
    std::vector<std::unique_ptr<service>> m_services;
};

// ---------------------------------------------------------------- clients

struct reply {
    /// `OK`, an error code, or `NONE` if no complete answer came.
    std::string result{"NONE"};
    std::string signature, state, position;
    std::vector<std::string> rows;
};

class client_session {
public:
    ~client_session() { close(); }

    bool open(const std::string& ip, int port, const std::string& database) {
        close();
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        no_delay(m_fd);
        const auto where = address_of(ip, port);
        if (::connect(m_fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0) {
            close();
            return false;
        }
        m_in.emplace(m_fd);
        send_all(m_fd, "STARTUP " + database + " u3f1\r\n");
        const auto line = m_in->next(2000);
        if (!line || !line->starts_with("READY")) {
            close();
            return false;
        }
        return true;
    }

    [[nodiscard]] bool is_open() const { return m_fd >= 0; }
    [[nodiscard]] line_reader& input() { return *m_in; }

    reply query(const std::string& id, const std::string& text, long limit_ms = 1500) {
        reply out;
        if (!is_open() || !send_all(m_fd, "QUERY " + id + " " + text + "\r\n")) {
            close();
            return out;
        }
        std::string result;
        for (const auto until = now_ms() + limit_ms;;) {
            const auto line = m_in->next(until - now_ms());
            if (!line) {
                close();
                return out;
            }
            auto rest = *line;
            const auto what = word(rest);
            if (what == "ROW") {
                out.rows.push_back(rest);
            } else if (what == "COMPLETE") {
                result = "OK";
                out.signature = rest;
            } else if (what == "ERROR") {
                result = word(rest);
            } else if (what == "READY") {
                out.state = word(rest);
                out.position = rest;
                out.result = result;
                return out;
            }
        }
    }

    void close() {
        if (m_fd >= 0) {
            ::close(m_fd);
            m_fd = -1;
        }
    }

private:
    int m_fd{-1};
    std::optional<line_reader> m_in;
};

/// The load balancer's probe.
inline bool is_ready(const std::string& ip, int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto where = address_of(ip, port);
    bool out = false;
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0) {
        send_all(fd, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
        line_reader in{fd};
        const auto line = in.next(1000);
        out = line && line->find(" 200") != std::string::npos;
    }
    ::close(fd);
    return out;
}

// ---------------------------------------------------------------- the deployment

struct route {
    std::string host, service, kind;
    long max_staleness_ms{0};
};

inline std::string configuration(std::uint64_t version, const std::vector<route>& routes,
                                 const std::vector<std::string>& services, int sync_replicas) {
    Json::Value out;
    out["Version"] = static_cast<Json::UInt64>(version);
    for (const auto& item : routes) {
        Json::Value one;
        one["Name"] = "r-" + item.host + "-" + item.service;
        one["Host"] = item.host;
        one["Prefix"] = "/";
        one["Kind"] = item.kind;
        one["TimeoutMs"] = 800;
        one["TargetLatencyMs"] = 200;
        one["Priority"] = 1;
        one["Service"] = item.service;
        one["MaxAttempts"] = 2;
        if (item.max_staleness_ms > 0) {
            one["MaxStalenessMs"] = static_cast<Json::Int64>(item.max_staleness_ms);
        }
        out["Routes"].append(one);
    }
    for (const auto& name : services) {
        Json::Value one;
        one["Name"] = name;
        one["HealthCheck"] = "/health";
        one["MaxConnections"] = 16;
        one["Protocol"] = "h1";
        one["Tls"] = false;
        one["SyncReplicas"] = sync_replicas;
        out["Services"].append(one);
    }
    out["Limits"]["MaxHeaderBytes"] = 16384;
    out["Limits"]["MaxBodyBytes"] = 262144;
    out["Limits"]["HeaderTimeoutMs"] = 3000;
    out["Limits"]["IdleTimeoutMs"] = 15000;
    out["Limits"]["TxIdleMs"] = 3000;
    return to_text(out);
}

/// What a case's program is started with: PREFIX RECORD TROUBLE PROXIES.
struct setting {
    std::string prefix;
    bool trouble{true};
    int proxies{7};

    [[nodiscard]] std::string proxy_ip(int index) const { return prefix + "." + std::to_string(10 + index); }
};

constexpr int front_port = 8784;
constexpr int readiness_port = 8785;

inline setting parse(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 5) {
        std::fprintf(stderr, "usage: %s PREFIX RECORD TROUBLE PROXIES\n", argv[0]);
        std::_Exit(2);
    }
    g_record = std::fopen(argv[2], "w");
    if (g_record == nullptr) {
        std::_Exit(2);
    }
    return {argv[1], std::string{argv[3]} != "0", std::atoi(argv[4])};
}

/// Serves the store and the platform's API and tells run.sh that the proxies can be started.
inline void serve_platform(const setting& with, metadata_store& store, database_fleet& fleet) {
    serve_http(with.prefix + ".1", 8783, [&](const http_request& incoming) { return store.handle(incoming); });
    serve_http(with.prefix + ".2", 8783, [&](const http_request& incoming) {
        return incoming.path == "/promote" ? fleet.handle_promotion(incoming) : http_answer{404};
    });
    std::puts("up");
    std::fflush(stdout);
}

/// Waits until all proxies are ready; ends the process with 2 if that takes too long.
inline void await_ready(const setting& with) {
    for (int i = 0; i < with.proxies; ++i) {
        while (!is_ready(with.proxy_ip(i), readiness_port)) {
            if (now_ms() > 20'000) {
                record("proxy " + std::to_string(i) + " is not ready");
                std::_Exit(2);
            }
            sleep_ms(100);
        }
    }
    sleep_ms(2000);
    record("all proxies are ready");
}

[[noreturn]] inline void finish(int code, const std::string& text) {
    record(text);
    std::puts(text.c_str());
    std::fflush(stdout);
    std::_Exit(code);
}

} // namespace stand_in
