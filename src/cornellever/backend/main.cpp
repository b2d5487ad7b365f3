#include <tclap/CmdLine.h>

#include "cornellever/backend/instance.hpp"
#include "cornellever/core/daemon.hpp"
#include "cornellever/core/role.hpp"

namespace cornellever {

int backend_main(std::span<char*> args) {
    TCLAP::CmdLine cmd{"Stand-in database server instance holding a SQLite database", ' ', "0.1"};
    TCLAP::ValueArg<std::string> listen{"", "listen", "IP:PORT to listen on", true, "", "address", cmd};
    TCLAP::ValueArg<std::string> name{"", "name", "instance name", true, "", "name", cmd};
    TCLAP::ValueArg<std::string> role{"", "role", "primary or replica", false, "replica", "role", cmd};
    TCLAP::ValueArg<std::uint64_t> term{"", "term", "starting term", false, 1, "term", cmd};
    TCLAP::MultiArg<std::string> replicas{"", "replica", "IP:PORT of a replica to ship to", false, "address", cmd};
    TCLAP::MultiArg<std::string> scripts{"", "sql", "SQL script run at start, in order", false, "path", cmd};
    TCLAP::ValueArg<std::string> folder{"", "data", "folder for the database file", true, "", "path", cmd};
    TCLAP::ValueArg<int> replication_lag{"",   "lag-ms", "how long a replica holds received writes back", false, 0,
                                         "ms", cmd};
    TCLAP::ValueArg<std::size_t> connections{"", "max-connections", "connections accepted", false, 64, "count", cmd};
    TCLAP::ValueArg<int> delay{"", "connect-delay-ms", "cost of a new connection", false, 0, "ms", cmd};
    TCLAP::ValueArg<std::string> level{"", "log-level", "debug, info, warning or error", false, "info", "level", cmd};
    cmd.parse(static_cast<int>(args.size()), args.data());
    if (!start_logging("backend", level.getValue())) {
        return 2;
    }
    backend::instance_settings settings;
    settings.name = name.getValue();
    settings.initial_role = role.getValue() == "primary" ? backend::role::primary : backend::role::replica;
    settings.term = term.getValue();
    settings.folder = folder.getValue();
    settings.replication_lag = std::chrono::milliseconds{replication_lag.getValue()};
    settings.max_connections = connections.getValue();
    settings.connect_delay = std::chrono::milliseconds{delay.getValue()};
    for (const auto& script : scripts.getValue()) {
        settings.scripts.emplace_back(script);
    }
    tcp::endpoint listen_address;
    if (!parse_endpoint(listen.getValue(), listen_address) ||
        !parse_endpoints(replicas.getValue(), settings.replicas)) {
        return 2;
    }
    event_loop io;
    auto created = backend::instance::create(io.get_executor(), settings);
    if (!created) {
        std::fprintf(stderr, "cannot start: %s\n", created.error().message.c_str());
        return 1;
    }
    rpc::server rpc{io.get_executor()};
    (*created)->bind(rpc);
    auto bound_address = rpc.listen(listen_address);
    if (!bound_address) {
        log_event(event::listen_failed, "reason=\"" + bound_address.error().message + "\"");
        return 1;
    }
    rpc.start();
    (*created)->start();
    log_event(event::process_started,
              "role=backend name=" + settings.name + " listen=" + to_string(*bound_address) + " as=" + role.getValue());
    auto signals = on_stop_signal(io, [&] { io.stop(); });
    io.run();
    io.destroy_suspended_coroutines();
    log_event(event::process_stopped, "role=backend name=" + settings.name);
    return 0;
}

} // namespace cornellever
