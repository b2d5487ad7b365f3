// Case LOST: a service with SyncReplicas 1, one replica draining, the other one without news from the primary, and the
// primary crashes. Exits with 1 if the instance that is promoted lacks an acknowledged commit.
#include "stand_in.hpp"

using namespace stand_in;

namespace {

std::map<std::string, long> g_acknowledged;

/// A client that reserves a unit about ten times a second.
void keep_writing(const setting& with, int number, const std::atomic<bool>& stop) {
    client_session session;
    for (int count = 0; !stop; ++count) {
        sleep_ms(60 + (number * 37 + count * 13) % 50);
        if (!session.is_open() &&
            !session.open(with.proxy_ip((number + count) % with.proxies), front_port, "reserve")) {
            continue;
        }
        const auto id = "w" + std::to_string(number) + "-" + std::to_string(count);
        record("sent " + id + " WRITE");
        const auto out = session.query(id, "WRITE 1a4 data" + id);
        record("answered " + id + " " + out.result + " signature=" + out.signature + " position=" + out.position);
        if (out.result == "OK" && !out.signature.empty() && out.signature != "-") {
            const std::lock_guard held{g_lock};
            g_acknowledged[id] = now_ms();
        }
    }
}

} // namespace

int main(int argc, char** argv) {
    const auto with = parse(argc, argv);
    metadata_store store;
    database_fleet fleet{store};
    auto& stock = fleet.add("stockbook", 1, 100, with.prefix, 100);
    auto& primary = *stock.instances[0];
    auto& leaving = *stock.instances[1];
    auto& deaf = *stock.instances[2];
    std::atomic<bool> stop{false};
    bool any_promoted = false;
    std::vector<std::string> lost;
    fleet.ran = [](instance& at, const std::string& id, const std::string& text) {
        record("run " + id + " at " + at.id + ": " + text);
    };
    fleet.promoted = [&](instance& at) {
        any_promoted = true;
        for (const auto& [id, when] : g_acknowledged) {
            if (!at.holds(id)) {
                lost.push_back(id);
                record("violation LOST: " + id + " was acknowledged at " + std::to_string(when) +
                       " and is not in the log of " + at.id + ", which is promoted; it is in that of " + leaving.id +
                       ": " + (leaving.holds(id) ? "yes" : "no"));
            }
        }
    };
    store.put("op", "config", configuration(7, {{"reserve", "stockbook", "primary"}}, {"stockbook"}, 1));
    fleet.start();
    serve_platform(with, store, fleet);
    await_ready(with);

    std::vector<std::thread> clients;
    for (int i = 0; i < 8; ++i) {
        clients.emplace_back([&, i] { keep_writing(with, i, stop); });
    }
    sleep_ms(3000);
    if (with.trouble) {
        const std::lock_guard held{g_lock};
        deaf.deaf = true;
        record("disruption: " + deaf.id + " receives nothing for 6 s");
    }
    sleep_ms(1500);
    {
        const std::lock_guard held{g_lock};
        leaving.draining = true;
        record("planned work: " + leaving.id + " is to be replaced and reports draining");
    }
    sleep_ms(1500);
    if (with.trouble) {
        record("disruption: the primary " + primary.id + " crashes");
        fleet.crash(primary);
    }
    sleep_ms(3000);
    {
        const std::lock_guard held{g_lock};
        if (deaf.deaf) {
            record("disruption ends: " + deaf.id + " receives again");
        }
        deaf.deaf = false;
    }
    sleep_ms(2000);
    stop = true;
    for (auto& item : clients) {
        item.join();
    }
    const std::lock_guard held{g_lock};
    if (g_acknowledged.size() < 100) {
        finish(2, "could not run: only " + std::to_string(g_acknowledged.size()) + " writes were acknowledged");
    }
    const auto summary = std::to_string(g_acknowledged.size()) +
                         " writes acknowledged, promoted=" + (any_promoted ? "yes" : "no") +
                         ", acknowledged writes lost: " + std::to_string(lost.size());
    finish(lost.empty() ? 0 : 1, (lost.empty() ? "LOST held: " : "LOST broken: ") + summary);
}
