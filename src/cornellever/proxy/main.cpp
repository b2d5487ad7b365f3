#include <cstdlib>
#include <thread>

#include <tclap/CmdLine.h>

#include "cornellever/core/daemon.hpp"
#include "cornellever/core/role.hpp"
#include "cornellever/ini/reader.hpp"
#include "cornellever/proxy/charts.hpp"
#include "cornellever/proxy/control.hpp"
#include "cornellever/proxy/planned_stop.hpp"
#include "cornellever/proxy/router.hpp"

namespace cornellever {

namespace {

constexpr auto sweep_period = std::chrono::seconds{1};

/// A proxy's own settings: where it listens, its zone, the platform.
struct proxy_settings {
    std::string name;
    std::string zone;
    std::string listen;
    std::string platform;
};

/// Reads `[proxy]` of a settings folder into `out`; prints every finding.
bool read_settings(const std::string& folder, proxy_settings& out) {
    const auto document = ini::read_folder(folder);
    auto findings = document.findings;
    for (const auto& item : document.entries) {
        std::string* target = nullptr;
        if (item.section == "proxy" && item.key == "name") {
            target = &out.name;
        } else if (item.section == "proxy" && item.key == "zone") {
            target = &out.zone;
        } else if (item.section == "proxy" && item.key == "listen") {
            target = &out.listen;
        } else if (item.section == "proxy" && item.key == "platform") {
            target = &out.platform;
        }
        if (target == nullptr) {
            findings.push_back(ini::finding{item.where, "unknown setting [" + item.section + "] " + item.key +
                                                            ": expected [proxy] name, zone, listen or platform"});
        } else {
            *target = item.value;
        }
    }
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

/// The chart in `text`; the process cannot run without it, and a test
/// parses every chart that is compiled in.
chart load_chart(std::string_view text, std::string_view name) {
    auto parsed = chart::parse(text, name);
    if (!parsed) {
        std::fprintf(stderr, "chart %s: %s\n", std::string{name}.c_str(), parsed.error().message.c_str());
        std::exit(1);
    }
    return std::move(*parsed);
}

} // namespace

int proxy_main(std::span<char*> args) {
    TCLAP::CmdLine cmd{"The proxy between callers and backends", ' ', "0.1"};
    TCLAP::ValueArg<std::string> folder{"",     "settings", "folder of INI files with [proxy] settings", false, "",
                                        "path", cmd};
    TCLAP::ValueArg<std::string> listen{"", "listen", "IP:PORT for callers", false, "", "address", cmd};
    TCLAP::ValueArg<std::string> platform{"", "platform", "IP:PORT of the platform", false, "", "address", cmd};
    TCLAP::ValueArg<std::string> zone{"", "zone", "this proxy's zone (data centre)", false, "", "zone", cmd};
    TCLAP::ValueArg<std::string> name{"", "name", "this proxy's name", false, "", "name", cmd};
    TCLAP::ValueArg<std::string> level{"", "log-level", "debug, info, warning or error", false, "info", "level", cmd};
    cmd.parse(static_cast<int>(args.size()), args.data());
    if (!start_logging("proxy", level.getValue())) {
        return 2;
    }
    proxy_settings settings;
    if (folder.isSet() && !read_settings(folder.getValue(), settings)) {
        return 2;
    }
    for (auto [arg, target] : {std::pair{&listen, &settings.listen}, std::pair{&platform, &settings.platform},
                               std::pair{&zone, &settings.zone}, std::pair{&name, &settings.name}}) {
        if (arg->isSet()) {
            *target = arg->getValue();
        }
    }
    tcp::endpoint listen_at;
    tcp::endpoint platform_at;
    if (!parse_endpoint(settings.listen, listen_at) || !parse_endpoint(settings.platform, platform_at)) {
        std::fprintf(stderr, "listen and platform must be IP:PORT (settings or --listen/--platform)\n");
        return 2;
    }
    if (settings.name.empty()) {
        settings.name = "proxy-" + std::to_string(listen_at.port());
    }
    const auto failover_steps = load_chart(proxy::charts::failover, "failover.ini");
    const auto drain_steps = load_chart(proxy::charts::drain, "drain.ini");
    event_loop io;
    event_loop control_io;
    proxy::router traffic{io.get_executor(), settings.name, settings.zone};
    rpc::server rpc{io.get_executor()};
    traffic.bind(rpc);
    auto bound = rpc.listen(listen_at);
    if (!bound) {
        log_event(event::listen_failed, "reason=\"" + bound.error().message + "\"");
        return 1;
    }
    rpc.start();
    proxy::control watcher{
        control_io.get_executor(), io.get_executor(), traffic, platform_at, settings.name, failover_steps,
        proxy::control_limits{}};
    watcher.start();
    asio::co_spawn(io, sweep(traffic), asio::detached);
    proxy::planned_stop stop{rpc, traffic, drain_steps};
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
                                          " zone=" + settings.zone + " platform=" + to_string(platform_at));
    auto guard = asio::make_work_guard(control_io);
    std::thread control_thread{[&] { control_io.run(); }};
    io.run();
    control_io.stop();
    control_thread.join();
    control_io.abandon_pending();
    io.abandon_pending();
    return 0;
}

} // namespace cornellever
