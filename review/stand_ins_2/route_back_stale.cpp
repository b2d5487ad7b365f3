// Case STALE: the operator moves a read_your_writes route to another service and takes the change back while the
// replicas of the first service apply late. Exits with 1 if a session reads from a log that lacks its own commit.
#include "stand_in.hpp"

using namespace stand_in;

namespace {

constexpr int session_count = 7;
constexpr int rounds = 3;
constexpr long usual_lag_ms = 20;
constexpr long late_lag_ms = 75 * usual_lag_ms;

struct own_commit {
    std::string id, service;
    long acknowledged_at{0};
};

struct client {
    client_session session;
    std::vector<own_commit> commits;
};

std::string service_of_commit(const database_fleet&, const service& a, const service& b, const std::string& id) {
    for (const auto* of : {&a, &b}) {
        for (const auto& item : of->instances) {
            if (item->holds(id)) {
                return of->name;
            }
        }
    }
    return "";
}

} // namespace

int main(int argc, char** argv) {
    const auto with = parse(argc, argv);
    metadata_store store;
    database_fleet fleet{store};
    auto& first = fleet.add("stockbook", 0, 500, with.prefix, 100);
    auto& second = fleet.add("workshop", 0, 40, with.prefix, 110);
    const std::vector<std::string> services{"stockbook", "workshop"};
    std::uint64_t version = 7;
    const auto configure = [&](const std::string& refit) {
        store.put("op", "config",
                  configuration(++version,
                                {{"reserve", "stockbook", "primary"}, {"refit", refit, "read_your_writes", 2500}},
                                services, 0));
        record("operator: version " + std::to_string(version) + " is acknowledged, refit -> " + refit);
    };
    std::vector<client> clients(session_count);
    std::map<std::string, client*> sender;
    int violations = 0;
    int reads = 0;
    fleet.ran = [&](instance& at, const std::string& id, const std::string& text) {
        record("run " + id + " at " + at.id + (at.leads() ? " (primary): " : " (replica): ") + text);
        const auto found = sender.find(id);
        if (found == sender.end() || !text.starts_with("READ ")) {
            return;
        }
        ++reads;
        for (const auto& own : found->second->commits) {
            if (own.service == at.of->name && !at.has_applied(own.id)) {
                ++violations;
                record("violation STALE: " + id + " runs at " + at.id + ", which has applied " +
                       at.at(at.applied()).text() + " and lacks " + own.id +
                       ", a commit of the same session acknowledged at " + std::to_string(own.acknowledged_at));
            }
        }
    };
    // Commits that a promote rolled back don't count.
    fleet.promoted = [&](instance& at) {
        for (auto& item : clients) {
            std::erase_if(item.commits,
                          [&](const own_commit& own) { return own.service == at.of->name && !at.holds(own.id); });
        }
    };
    configure("stockbook");
    fleet.start();
    serve_platform(with, store, fleet);
    await_ready(with);

    std::atomic<bool> stop{false};
    std::thread background{[&] {
        client_session session;
        for (int count = 0; !stop; ++count) {
            sleep_ms(50);
            if (session.is_open() || session.open(with.proxy_ip(count % with.proxies), front_port, "reserve")) {
                const auto id = "b-" + std::to_string(count);
                record("sent " + id + " WRITE");
                record("answered " + id + " " + session.query(id, "WRITE 2c1 x").result);
            }
        }
    }};
    const auto write = [&](int index, const std::string& id) {
        auto& by = clients[static_cast<std::size_t>(index)];
        record("sent " + id + " WRITE by session " + std::to_string(index));
        const auto out = by.session.query(id, "WRITE 1a4 data" + id);
        record("answered " + id + " " + out.result + " position=" + out.position);
        const std::lock_guard held{g_lock};
        if (out.result == "OK") {
            by.commits.push_back({id, service_of_commit(fleet, first, second, id), now_ms()});
        }
        return out.result == "OK";
    };
    const auto each = [&](const std::function<void(int)>& act) {
        std::vector<std::thread> threads;
        for (int i = 0; i < session_count; ++i) {
            threads.emplace_back([&, i] { act(i); });
        }
        for (auto& item : threads) {
            item.join();
        }
    };
    std::atomic<int> written{0};
    for (int round = 0; round < rounds; ++round) {
        const auto name = [&](int index, const std::string& what) {
            return "s" + std::to_string(index) + "-" + std::to_string(round) + "-" + what;
        };
        for (int i = 0; i < session_count; ++i) {
            auto& item = clients[static_cast<std::size_t>(i)];
            item.commits.clear();
            item.session.open(with.proxy_ip(i % with.proxies), front_port, "refit");
        }
        if (with.trouble) {
            const std::lock_guard held{g_lock};
            record("disruption: the replicas of stockbook apply 75 times as late for 6 s");
            for (auto& item : first.instances) {
                item->lag_ms = late_lag_ms;
            }
        }
        sleep_ms(3000);
        each([&](int i) { written += write(i, name(i, "first")) ? 1 : 0; });
        configure("workshop");
        sleep_ms(300);
        each([&](int i) { written += write(i, name(i, "second")) ? 1 : 0; });
        configure("stockbook");
        sleep_ms(300);
        each([&](int i) {
            const auto id = name(i, "read");
            auto& by = clients[static_cast<std::size_t>(i)];
            {
                const std::lock_guard held{g_lock};
                sender[id] = &by;
            }
            record("sent " + id + " READ by session " + std::to_string(i));
            const auto out = by.session.query(id, "READ 1a4");
            record("answered " + id + " " + out.result + " signature=" + out.signature + " position=" + out.position);
        });
        sleep_ms(2000);
        {
            const std::lock_guard held{g_lock};
            for (auto& item : first.instances) {
                item->lag_ms = usual_lag_ms;
            }
        }
        sleep_ms(2500);
    }
    stop = true;
    background.join();
    const std::lock_guard held{g_lock};
    if (written < rounds * session_count || reads < rounds) {
        finish(2, "could not run: " + std::to_string(written.load()) + " writes, " + std::to_string(reads) + " reads");
    }
    const auto summary = std::to_string(written.load()) + " writes acknowledged, " + std::to_string(reads) +
                         " reads run, stale reads: " + std::to_string(violations);
    finish(violations == 0 ? 0 : 1, (violations == 0 ? "STALE held: " : "STALE broken: ") + summary);
}
