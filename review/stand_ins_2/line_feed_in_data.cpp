// Case UNASKED: clients whose data contain a line feed. Exits with 1 if an instance runs a statement that no client
// sent.
#include "stand_in.hpp"

using namespace stand_in;

int main(int argc, char** argv) {
    const auto with = parse(argc, argv);
    metadata_store store;
    database_fleet fleet{store};
    fleet.add("stockbook", 0, 100, with.prefix, 100);
    std::map<std::string, std::string> sent;
    int violations = 0;
    int runs = 0;
    fleet.ran = [&](instance& at, const std::string& id, const std::string& text) {
        ++runs;
        record("run " + id + " at " + at.id + ": [" + text + "]");
        const auto found = sent.find(id);
        if (found == sent.end()) {
            ++violations;
            record("violation UNASKED: no client sent a statement with the id " + id);
        } else if (found->second != text) {
            ++violations;
            record("violation UNASKED: " + id + " runs with changed text");
        }
    };
    store.put("op", "config", configuration(7, {{"reserve", "stockbook", "primary"}}, {"stockbook"}, 0));
    fleet.start();
    serve_platform(with, store, fleet);
    await_ready(with);
    const std::string separator = with.trouble ? "\n" : " ";
    int answered = 0;
    int surplus = 0;
    for (int i = 0; i < 14; ++i) {
        client_session session;
        if (!session.open(with.proxy_ip(i % with.proxies), front_port, "reserve")) {
            finish(2, "could not run: no session");
        }
        const auto id = "w" + std::to_string(i);
        // A note of two lines. The second one of every other client quotes a statement.
        const auto text = "WRITE 1a4 two ovens" + separator +
                          (i % 2 == 0 ? "for the resort" : "QUERY x" + std::to_string(i) + " WRITE 2c1 none");
        {
            const std::lock_guard held{g_lock};
            sent[id] = text;
        }
        record("sent " + id + " [" + text + "]");
        const auto out = session.query(id, text);
        record("answered " + id + " " + out.result + " signature=" + out.signature);
        answered += out.result == "NONE" ? 0 : 1;
        if (session.is_open() && session.input().anything(300)) {
            ++surplus;
            record("an answer to nothing arrives on the session of " + id);
        }
    }
    const std::lock_guard held{g_lock};
    if (answered == 0) {
        finish(2, "could not run: no answers");
    }
    const auto summary = std::to_string(runs) +
                         " statements run, of these not sent by a client: " + std::to_string(violations) +
                         ", answers to nothing: " + std::to_string(surplus);
    finish(violations == 0 ? 0 : 1, (violations == 0 ? "UNASKED held: " : "UNASKED broken: ") + summary);
}
