#include <cstdlib>
#include <thread>

#include <tclap/CmdLine.h>

#include "cornellever/core/daemon.hpp"
#include "cornellever/core/role.hpp"
#include "cornellever/proxy/charts.hpp"
#include "cornellever/proxy/control.hpp"
#include "cornellever/proxy/graceful_shutdown.hpp"
#include "cornellever/proxy/router.hpp"
#include "cornellever/proxy/settings.hpp"

namespace cornellever {

namespace {

constexpr auto sweep_period = std::chrono::seconds{1};

/// Prints the problems found in the settings to stderr; returns true if there are none.
bool print_findings(const std::vector<ini::finding>& findings) {
    for (const auto& item : findings) {
        std::fprintf(stderr, "%s\n", ini::to_string(item).c_str());
    }
    return findings.empty();
}

asio::awaitable<void> sweep(proxy::router& traffic) {
    for (;;) {
        co_await sleep_for(sweep_period);
        traffic.sweep_abandoned();
    }
}

int run_proxy(const proxy::settings& settings) {
    const auto failover_steps = load_state_chart(proxy::charts::failover, "failover.ini");
    const auto drain_steps = load_state_chart(proxy::charts::drain, "drain.ini");
    event_loop io;
    event_loop control_io;
    proxy::router traffic{io.get_executor(), settings.name, settings.zone};
    rpc::server rpc{io.get_executor()};
    traffic.bind(rpc);
    auto bound = rpc.listen(settings.listen);
    if (!bound) {
        log_event(event::listen_failed, "reason=\"" + bound.error().message + "\"");
        return 1;
    }
    rpc.start();
    proxy::control control{control_io.get_executor(), io.get_executor(), traffic, settings, failover_steps};
    control.start();
    asio::co_spawn(io, sweep(traffic), asio::detached);
    proxy::graceful_shutdown stop{rpc, traffic, drain_steps};
    auto signals = on_stop_signal(io, [&] {
        log_event(event::process_stopping, "role=proxy in_flight=" + std::to_string(rpc.in_flight()));
        asio::co_spawn(io, stop.run(), [&](const std::exception_ptr&) {
            log_event(event::process_stopped, "role=proxy in_flight=" + std::to_string(rpc.in_flight()) +
                                                  " transactions=" + std::to_string(traffic.open_transactions()));
            control_io.stop();
            io.stop();
        });
    });
    log_event(event::process_started, "role=proxy name=" + settings.name + " listen=" + to_string(*bound) +
                                          " zone=" + settings.zone + " platform=" + to_string(settings.platform));
    auto guard = asio::make_work_guard(control_io);
    std::thread control_thread{[&] { control_io.run(); }};
    io.run();
    control_io.stop();
    control_thread.join();
    control_io.destroy_suspended_coroutines();
    io.destroy_suspended_coroutines();
    return 0;
}

} // namespace

int proxy_main(std::span<char*> args) {
    TCLAP::CmdLine cmd{"The proxy between callers and backends", ' ', "0.1"};
    TCLAP::ValueArg<std::string> folder{"",     "settings", "folder of INI files with [proxy] settings", false, "",
                                        "path", cmd};
    TCLAP::ValueArg<std::string> listen{"", "listen", "IP:PORT for callers", false, "", "address", cmd};
    TCLAP::ValueArg<std::string> platform{"", "platform", "IP:PORT of the platform", false, "", "address", cmd};
    TCLAP::ValueArg<std::string> peers{"",          "peers", "IP:PORT of other proxies, separated by commas", false, "",
                                       "addresses", cmd};
    TCLAP::ValueArg<std::string> zone{"", "zone", "this proxy's zone (data centre)", false, "", "zone", cmd};
    TCLAP::ValueArg<std::string> name{"", "name", "this proxy's name", false, "", "name", cmd};
    TCLAP::ValueArg<std::string> level{"", "log-level", "debug, info, warning or error", false, "info", "level", cmd};
    cmd.parse(static_cast<int>(args.size()), args.data());
    if (!start_logging("proxy", level.getValue())) {
        return 2;
    }
    proxy::settings_text text;
    if (folder.isSet() && !print_findings(proxy::read_settings(folder.getValue(), text))) {
        return 2;
    }
    for (auto [arg, target] :
         {std::pair{&listen, &text.listen}, std::pair{&platform, &text.platform}, std::pair{&peers, &text.peers},
          std::pair{&zone, &text.zone}, std::pair{&name, &text.name}}) {
        if (arg->isSet()) {
            *target = arg->getValue();
        }
    }
    proxy::settings settings;
    if (!print_findings(proxy::check_settings(text, settings))) {
        return 2;
    }
    return run_proxy(settings);
}

} // namespace cornellever
