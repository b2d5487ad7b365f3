#include <csignal>
#include <cstdio>

#include <tclap/CmdLine.h>

#include "cornellever/core/daemon.hpp"
#include "scenario.hpp"

// Runs the fault soak with one seed; exits with 1 when a guarantee was violated.
// The proxies' logs stay in the folder.
int main(int argc, char** argv) {
    using namespace cornellever;
    TCLAP::CmdLine command_line{"Fault soak: real proxies, emulated servers and store", ' ', "1"};
    TCLAP::ValueArg<std::string> binary{"", "binary", "the cornellever binary", true, "", "path", command_line};
    TCLAP::ValueArg<std::string> folder{"", "folder", "folder for settings and logs", true, "", "path", command_line};
    TCLAP::ValueArg<std::uint64_t> seed{"", "seed", "seed of the fault sequence", false, 1, "number", command_line};
    TCLAP::ValueArg<int> planned{"",        "planned-s", "seconds with planned operations only", false, 8,
                                 "seconds", command_line};
    TCLAP::ValueArg<int> faulty{"", "faulty-s", "seconds with all faults", false, 15, "seconds", command_line};
    TCLAP::ValueArg<int> log_losses{"",       "emptied",   "rounds in which a primary loses its log", false, 0,
                                    "number", command_line};
    TCLAP::ValueArg<int> store_restores{
        "",       "returns",   "rounds in which the store is restored from an older snapshot", false, 0,
        "number", command_line};
    TCLAP::ValueArg<std::size_t> proxies{"", "proxies", "proxy processes", false, 5, "number", command_line};
    TCLAP::ValueArg<std::size_t> callers{"", "callers", "concurrent callers", false, 24, "number", command_line};
    command_line.parse(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    set_log_level(severity::error);
    std::filesystem::create_directories(folder.getValue());
    event_loop io;
    std::size_t violations = 1;
    {
        soak::scenario scenario_run{io, soak::scenario_settings{.binary = binary.getValue(),
                                                                .folder = folder.getValue(),
                                                                .seed = seed.getValue(),
                                                                .planned = std::chrono::seconds{planned.getValue()},
                                                                .faulty = std::chrono::seconds{faulty.getValue()},
                                                                .log_loss_rounds = log_losses.getValue(),
                                                                .store_restore_rounds = store_restores.getValue(),
                                                                .proxies = proxies.getValue(),
                                                                .callers = callers.getValue()}};
        asio::co_spawn(io, scenario_run.run(), [&](const std::exception_ptr& failed, std::size_t found) {
            violations = failed ? 1 : found;
            if (failed) {
                std::printf("the scenario failed with an exception\n");
            }
            io.stop();
        });
        io.run();
        io.destroy_suspended_coroutines();
    }
    return violations == 0 ? 0 : 1;
}
