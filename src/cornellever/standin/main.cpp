#include <tclap/CmdLine.h>

#include "cornellever/core/daemon.hpp"
#include "cornellever/core/role.hpp"
#include "cornellever/standin/platform_service.hpp"

namespace cornellever {

int platform_main(std::span<char*> args) {
    TCLAP::CmdLine cmd{"Stand-in for the platform: table service, object store, VM list", ' ', "0.1"};
    TCLAP::ValueArg<std::string> listen{"", "listen", "IP:PORT to listen on", true, "", "address", cmd};
    TCLAP::ValueArg<int> lag{"", "vm-list-lag-ms", "how late the VM list shows changes", false, 2000, "ms", cmd};
    TCLAP::ValueArg<std::string> snapshot{"",     "snapshot", "file that keeps rows across restarts", false, "",
                                          "path", cmd};
    TCLAP::ValueArg<std::string> level{"", "log-level", "debug, info, warning or error", false, "info", "level", cmd};
    cmd.parse(static_cast<int>(args.size()), args.data());
    if (!start_logging("platform", level.getValue())) {
        return 2;
    }
    tcp::endpoint listen_address;
    if (!parse_endpoint(listen.getValue(), listen_address)) {
        std::fprintf(stderr, "--listen must be IP:PORT\n");
        return 2;
    }
    event_loop io;
    standin::platform_service platform{
        io.get_executor(), standin::platform_settings{std::chrono::milliseconds{lag.getValue()}, snapshot.getValue()}};
    rpc::server rpc{io.get_executor()};
    platform.bind(rpc);
    auto bound_address = rpc.listen(listen_address);
    if (!bound_address) {
        log_event(event::listen_failed, "reason=\"" + bound_address.error().message + "\"");
        return 1;
    }
    rpc.start();
    log_event(event::process_started, "role=platform listen=" + to_string(*bound_address));
    auto signals = on_stop_signal(io, [&] {
        log_event(event::process_stopping, "role=platform");
        io.stop();
    });
    io.run();
    io.destroy_suspended_coroutines();
    log_event(event::process_stopped, "role=platform");
    return 0;
}

} // namespace cornellever
