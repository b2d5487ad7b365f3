#include <csignal>
#include <cstdio>

#include <tclap/CmdLine.h>

#include "cornellever/core/daemon.hpp"
#include "scenario.hpp"

namespace {

using namespace cornellever;

/// Runs a scenario; returns the number of violations. Throws the exception that ended the scenario, if any.
std::size_t play(soak::scenario_settings settings) {
    event_loop io;
    std::size_t violations = 0;
    std::exception_ptr error;
    {
        soak::scenario scenario_run{io, std::move(settings)};
        asio::co_spawn(io, scenario_run.run(), [&](std::exception_ptr failed, std::size_t found) {
            violations = found;
            error = std::move(failed);
            io.stop();
        });
        io.run();
        io.destroy_suspended_coroutines();
    }
    if (error) {
        std::rethrow_exception(error);
    }
    return violations;
}

} // namespace

// Runs the fault soak with one seed; exits with 1 when a guarantee was violated
// and with 2 when the run failed. The proxies' logs stay in the folder.
int main(int argc, char** argv) {
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
    TCLAP::ValueArg<int> isolations{
        "",       "isolated",  "rounds in which a primary loses its log while its replicas are unreachable", false, 0,
        "number", command_line};
    TCLAP::ValueArg<int> overloads{
        "",       "overloaded", "rounds in which replicas fall behind while one server is not enough", false, 0,
        "number", command_line};
    TCLAP::ValueArg<int> breakages{"",       "broken",    "rounds in which a primary breaks every statement", false, 0,
                                   "number", command_line};
    TCLAP::ValueArg<int> replacements{
        "",       "replaced",  "rounds in which the primary of a service is replaced in series", false, 0,
        "number", command_line};
    TCLAP::ValueArg<int> synchronous{
        "",       "synchronous", "rounds in which a primary with synchronous replicas is replaced", false, 0,
        "number", command_line};
    TCLAP::ValueArg<int> routes{
        "", "moved", "rounds in which a route is moved to another service and back", false, 0, "number", command_line};
    TCLAP::ValueArg<int> drains{"",       "drained",   "rounds in which all servers of a service drain", false, 0,
                                "number", command_line};
    TCLAP::ValueArg<std::string> replay{
        "", "replay", "file of faults to inject instead of drawing them", false, "", "path", command_line};
    TCLAP::ValueArg<std::size_t> proxies{"", "proxies", "proxy processes", false, 5, "number", command_line};
    TCLAP::ValueArg<std::size_t> callers{"", "callers", "concurrent callers", false, 24, "number", command_line};
    command_line.parse(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    set_log_level(severity::error);
    std::filesystem::create_directories(folder.getValue());
    try {
        const auto violations = play({.binary = binary.getValue(),
                                      .folder = folder.getValue(),
                                      .seed = seed.getValue(),
                                      .planned = std::chrono::seconds{planned.getValue()},
                                      .faulty = std::chrono::seconds{faulty.getValue()},
                                      .log_loss_rounds = log_losses.getValue(),
                                      .store_restore_rounds = store_restores.getValue(),
                                      .isolation_rounds = isolations.getValue(),
                                      .overload_rounds = overloads.getValue(),
                                      .broken_rounds = breakages.getValue(),
                                      .replacement_rounds = replacements.getValue(),
                                      .synchronous_rounds = synchronous.getValue(),
                                      .route_rounds = routes.getValue(),
                                      .drain_rounds = drains.getValue(),
                                      .replay = replay.getValue(),
                                      .proxies = proxies.getValue(),
                                      .callers = callers.getValue()});
        return violations == 0 ? 0 : 1;
    } catch (const std::exception& error) {
        std::printf("the run failed: %s (a run with the same seed uses the same addresses)\n", error.what());
        return 2;
    }
}
