// Case LOST, second variant: a service with SyncReplicas 1 whose primary is to be replaced. The replica that has been
// ordered to take over receives nothing from shortly after the order on. Exits with 1 if it lacks an acknowledged
// commit when it is promoted.
#include "stand_in.hpp"

using namespace stand_in;

namespace {

std::map<std::string, long> g_acknowledged;

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
    std::atomic<bool> stop{false};
    int promotions = 0;
    std::vector<std::string> lost;
    fleet.ran = [](instance& at, const std::string& id, const std::string& text) {
        record("run " + id + " at " + at.id + ": " + text);
    };
    std::atomic<bool> planned{false};
    fleet.ordered = [&](instance& at) {
        if (!with.trouble || !planned.exchange(false)) {
            return;
        }
        std::thread{[&at] {
            sleep_ms(200);
            const std::lock_guard held{g_lock};
            at.deaf = true;
            record("disruption: " + at.id + " receives nothing for 6 s");
        }}.detach();
    };
    fleet.promoted = [&](instance& at) {
        ++promotions;
        for (const auto& [id, when] : g_acknowledged) {
            if (!at.holds(id)) {
                lost.push_back(id);
                record("violation LOST: " + id + " was acknowledged at " + std::to_string(when) +
                       " and is not in the log of " + at.id + ", which is promoted");
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
    {
        const std::lock_guard held{g_lock};
        planned = true;
        stock.primary->draining = true;
        record("planned work: the primary " + stock.primary->id + " is to be replaced and reports draining");
    }
    sleep_ms(6000);
    stop = true;
    for (auto& item : clients) {
        item.join();
    }
    const std::lock_guard held{g_lock};
    if (g_acknowledged.size() < 100 || promotions == 0) {
        finish(2, "could not run: " + std::to_string(g_acknowledged.size()) + " writes acknowledged, " +
                      std::to_string(promotions) + " promotions");
    }
    const auto summary = std::to_string(g_acknowledged.size()) +
                         " writes acknowledged, promotions: " + std::to_string(promotions) +
                         ", acknowledged writes lost: " + std::to_string(lost.size());
    finish(lost.empty() ? 0 : 1, (lost.empty() ? "LOST held: " : "LOST broken: ") + summary);
}
