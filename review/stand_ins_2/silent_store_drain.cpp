// Case DRAIN: the open connections to the store go silent, and the instances of a service are replaced one after the
// other. Exits with 1 if an instance is sent a statement later than DrainMs after its report was acknowledged.
#include "stand_in.hpp"

using namespace stand_in;

namespace {

constexpr long drain_ms = 7000;
constexpr long contact_ms = 4000;

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
        record("answered " + id + " " + out.result);
    }
}

} // namespace

int main(int argc, char** argv) {
    const auto with = parse(argc, argv);
    metadata_store store;
    database_fleet fleet{store};
    auto& stock = fleet.add("stockbook", 0, 100, with.prefix, 100);
    std::map<const instance*, long> draining_since;
    long silent_at = -contact_ms;
    int runs = 0;
    int violations = 0;
    fleet.ran = [&](instance& at, const std::string& id, const std::string& text) {
        ++runs;
        record("run " + id + " at " + at.id + ": " + text);
        const auto found = draining_since.find(&at);
        if (found != draining_since.end() && now_ms() - found->second > drain_ms && now_ms() - silent_at > contact_ms) {
            ++violations;
            record("violation DRAIN: " + id + " reaches " + at.id + " " + std::to_string(now_ms() - found->second) +
                   " ms after its report that it is draining was acknowledged");
        }
    };
    store.put("op", "config", configuration(7, {{"reserve", "stockbook", "primary"}}, {"stockbook"}, 0));
    fleet.start();
    serve_platform(with, store, fleet);
    await_ready(with);
    std::atomic<bool> stop{false};
    std::vector<std::thread> clients;
    for (int i = 0; i < 8; ++i) {
        clients.emplace_back([&, i] { keep_writing(with, i, stop); });
    }
    sleep_ms(3000);
    if (with.trouble) {
        const std::lock_guard held{g_lock};
        g_silent_before = g_http_connections.load();
        silent_at = now_ms();
        record("disruption: the open connections to the store go silent; new ones work");
    }
    sleep_ms(200);
    for (auto& item : stock.instances) {
        {
            const std::lock_guard held{g_lock};
            item->draining = true;
        }
        sleep_ms(100);
        {
            const std::lock_guard held{g_lock};
            draining_since[item.get()] = now_ms();
            record("planned work: " + item->id + " is to be replaced, and its report is acknowledged");
        }
        sleep_ms(900);
    }
    sleep_ms(6500);
    stop = true;
    for (auto& item : clients) {
        item.join();
    }
    const std::lock_guard held{g_lock};
    if (runs < 100) {
        finish(2, "could not run: only " + std::to_string(runs) + " statements run");
    }
    const auto summary = std::to_string(runs) + " statements run, later than DrainMs: " + std::to_string(violations);
    finish(violations == 0 ? 0 : 1, (violations == 0 ? "DRAIN held: " : "DRAIN broken: ") + summary);
}
