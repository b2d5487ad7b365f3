#include <thread>

#include <tclap/CmdLine.h>

#include "cornellever/core/daemon.hpp"
#include "cornellever/core/role.hpp"
#include "cornellever/ini/reader.hpp"
#include "cornellever/proxy/control.hpp"
#include "cornellever/proxy/router.hpp"

namespace cornellever {

namespace {

/// How long a planned stop waits for requests and transactions in flight.
constexpr auto drain_deadline = std::chrono::seconds{10};
constexpr auto drain_poll = std::chrono::milliseconds{20};
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

void drain_then_stop(asio::steady_timer& timer, rpc::server& rpc, proxy::router& traffic,
                     std::chrono::steady_clock::time_point until, asio::io_context& io, asio::io_context& control_io) {
    if ((rpc.in_flight() == 0 && traffic.open_transactions() == 0) || std::chrono::steady_clock::now() > until) {
        log_event(event::process_stopped, "role=proxy in_flight=" + std::to_string(rpc.in_flight()) +
                                              " transactions=" + std::to_string(traffic.open_transactions()));
        control_io.stop();
        io.stop();
        return;
    }
    timer.expires_after(drain_poll);
    timer.async_wait(
        [&, until](const boost::system::error_code&) { drain_then_stop(timer, rpc, traffic, until, io, control_io); });
}

void sweep(asio::steady_timer& timer, proxy::router& traffic) {
    timer.expires_after(sweep_period);
    timer.async_wait([&](const boost::system::error_code& ec) {
        if (!ec) {
            traffic.sweep_abandoned();
            sweep(timer, traffic);
        }
    });
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
    asio::io_context io;
    asio::io_context control_io;
    proxy::router traffic{io.get_executor(), settings.name, settings.zone, proxy::traffic_limits{}};
    rpc::server rpc{io.get_executor()};
    traffic.bind(rpc);
    auto bound = rpc.listen(listen_at);
    if (!bound) {
        log_event(event::listen_failed, "reason=\"" + bound.error().message + "\"");
        return 1;
    }
    rpc.start();
    proxy::control watcher{control_io.get_executor(), io.get_executor(), traffic, platform_at, proxy::control_limits{}};
    watcher.start();
    asio::steady_timer sweeper{io};
    sweep(sweeper, traffic);
    asio::steady_timer drainer{io};
    auto signals = on_stop_signal(io, [&] {
        log_event(event::process_stopping, "role=proxy in_flight=" + std::to_string(rpc.in_flight()));
        rpc.stop_accepting();
        drain_then_stop(drainer, rpc, traffic, std::chrono::steady_clock::now() + drain_deadline, io, control_io);
    });
    log_event(event::process_started, "role=proxy name=" + settings.name + " listen=" + to_string(*bound) +
                                          " zone=" + settings.zone + " platform=" + to_string(platform_at));
    auto guard = asio::make_work_guard(control_io);
    std::thread control_thread{[&] { control_io.run(); }};
    io.run();
    control_io.stop();
    control_thread.join();
    return 0;
}

} // namespace cornellever
