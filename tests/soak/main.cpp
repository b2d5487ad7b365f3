#include <csignal>
#include <cstdio>

#include <tclap/CmdLine.h>

#include "cornellever/core/daemon.hpp"
#include "scenario.hpp"

// Plays one seed of the fault soak; ends with 1 when a promise was broken. The
// proxies' logs stay in the folder.
int main(int argc, char** argv) {
    using namespace cornellever;
    TCLAP::CmdLine cmd{"Fault soak: real proxies, emulated servers and store", ' ', "1"};
    TCLAP::ValueArg<std::string> binary{"", "binary", "the cornellever binary", true, "", "path", cmd};
    TCLAP::ValueArg<std::string> folder{"", "folder", "where settings and logs are written", true, "", "path", cmd};
    TCLAP::ValueArg<std::uint64_t> seed{"", "seed", "chooses the faults", false, 1, "number", cmd};
    TCLAP::ValueArg<int> planned{"", "planned-s", "seconds of planned work alone", false, 8, "seconds", cmd};
    TCLAP::ValueArg<int> faulty{"", "faulty-s", "seconds of faults", false, 15, "seconds", cmd};
    TCLAP::ValueArg<int> emptied{"", "emptied", "rounds in which a primary loses its log", false, 0, "number", cmd};
    TCLAP::ValueArg<int> returns{"", "returns", "rounds of a store from an older copy", false, 0, "number", cmd};
    TCLAP::ValueArg<std::size_t> proxies{"", "proxies", "proxy processes", false, 5, "number", cmd};
    TCLAP::ValueArg<std::size_t> callers{"", "callers", "callers at a time", false, 24, "number", cmd};
    cmd.parse(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    set_log_level(severity::error);
    std::filesystem::create_directories(folder.getValue());
    event_loop io;
    std::size_t broken = 1;
    {
        soak::scenario played{io, soak::scenario_settings{.binary = binary.getValue(),
                                                          .folder = folder.getValue(),
                                                          .seed = seed.getValue(),
                                                          .planned = std::chrono::seconds{planned.getValue()},
                                                          .faulty = std::chrono::seconds{faulty.getValue()},
                                                          .emptied = emptied.getValue(),
                                                          .returns = returns.getValue(),
                                                          .proxies = proxies.getValue(),
                                                          .callers = callers.getValue()}};
        asio::co_spawn(io, played.play(), [&](const std::exception_ptr& failed, std::size_t breaches) {
            broken = failed ? 1 : breaches;
            if (failed) {
                std::printf("the scenario itself failed\n");
            }
            io.stop();
        });
        io.run();
        io.destroy_suspended_coroutines();
    }
    return broken == 0 ? 0 : 1;
}
