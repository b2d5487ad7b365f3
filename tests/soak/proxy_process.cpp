#include "proxy_process.hpp"

#include <csignal>
#include <fstream>

#include <sys/prctl.h>

#include <boost/process/extend.hpp>
#include <boost/process/handles.hpp>
#include <boost/process/io.hpp>

#include "cornellever/core/daemon.hpp"

namespace cornellever::soak {

namespace {

tcp::endpoint make_endpoint(const std::string& ip, unsigned short port) {
    return {asio::ip::make_address(ip), port};
}

} // namespace

proxy_process::proxy_process(asio::io_context& io, std::string binary, std::filesystem::path folder, std::string name,
                             std::string data_center, const std::string& ip, const tcp::endpoint& seed,
                             const tcp::endpoint& store)
    : m_binary{std::move(binary)}
    , m_folder{std::move(folder)}
    , m_name{std::move(name)}
    , m_caller_endpoint{make_endpoint(ip, 8001)}
    , m_readiness_endpoint{make_endpoint(ip, 8002)}
    , m_store_forwarder{io, make_endpoint(ip, 8010), store} {
    std::ofstream file{m_folder / (m_name + ".ini")};
    file << "[serve]\nname = " << m_name << "\ndata_center = " << data_center
         << "\ncallers = " << to_string(m_caller_endpoint) << "\nreadiness = " << to_string(m_readiness_endpoint)
         << "\npeers = " << to_string(make_endpoint(ip, 8003))
         << "\nheartbeats = " << to_string(make_endpoint(ip, 8004)) << "\nseeds = " << to_string(seed)
         << "\nstore = " << to_string(m_store_forwarder.address())
         << "\norders = " << to_string(m_store_forwarder.address()) << "\ngrace_s = 6\n";
    m_store_forwarder.accept_connections();
}

void proxy_process::start() {
    namespace process = boost::process;
    const auto log = m_folder / (m_name + ".log");
    auto* out = std::fopen(log.c_str(), "ae");
    // The child must not inherit the sockets of the emulated servers: they would
    // stay open there after they are closed here. It must not outlive a soak
    // that is killed either, because it would keep its addresses.
    m_child = std::make_unique<process::child>(
        m_binary, "serve", "--settings", (m_folder / (m_name + ".ini")).string(), process::std_out > out,
        process::std_err > out, process::limit_handles,
        process::extend::on_exec_setup([](auto&) { ::prctl(PR_SET_PDEATHSIG, SIGKILL); }));
    std::fclose(out);
    started_at = boot_clock::now();
    stopping_since.reset();
    paused_until.reset();
    restart_at.reset();
    in_rotation = false;
    missed_checks = 0;
}

void proxy_process::signal(int number) {
    if (m_child != nullptr) {
        ::kill(m_child->id(), number);
    }
}

std::optional<int> proxy_process::poll_exit() {
    std::error_code ignored;
    if (m_child == nullptr || m_child->running(ignored)) {
        return std::nullopt;
    }
    const auto code = m_child->native_exit_code();
    m_child.reset();
    in_rotation = false;
    return code;
}

} // namespace cornellever::soak
