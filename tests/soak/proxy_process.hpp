#pragma once

#include <filesystem>
#include <memory>
#include <optional>
#include <string>

#include <boost/process/child.hpp>

#include "consistency_checker.hpp"
#include "cornellever/core/asio.hpp"
#include "tcp_forwarder.hpp"

namespace cornellever::soak {

using namespace emulator;

/// A proxy under test, run as a process of its own, with a fault-injecting
/// forwarder between it and the metadata store.
class proxy_process {
public:
    proxy_process(asio::io_context& io, std::string binary, std::filesystem::path folder, std::string name,
                  std::string data_center, const std::string& ip, const tcp::endpoint& seed,
                  const tcp::endpoint& store);

    /// Starts the process; its output is appended to a log file in the folder.
    void start();
    void signal(int number);
    /// Polls for the end of the process; returns its wait status once.
    [[nodiscard]] std::optional<int> poll_exit();

    [[nodiscard]] bool running() const noexcept { return m_child != nullptr; }
    [[nodiscard]] const std::string& name() const noexcept { return m_name; }
    [[nodiscard]] const tcp::endpoint& caller_endpoint() const noexcept { return m_caller_endpoint; }
    [[nodiscard]] const tcp::endpoint& readiness_endpoint() const noexcept { return m_readiness_endpoint; }
    [[nodiscard]] tcp_forwarder& store_forwarder() noexcept { return m_store_forwarder; }

    /// Whether the load balancer sends new connections here.
    bool in_rotation{false};
    int missed_checks{0};
    time_point started_at{};
    /// When a planned stop was requested.
    std::optional<time_point> stopping_since{};
    /// The process is suspended (SIGSTOP) until this time.
    std::optional<time_point> paused_until{};
    std::optional<time_point> restart_at{};

private:
    std::string m_binary;
    std::filesystem::path m_folder;
    std::string m_name;
    tcp::endpoint m_caller_endpoint;
    tcp::endpoint m_readiness_endpoint;
    tcp_forwarder m_store_forwarder;
    std::unique_ptr<boost::process::child> m_child;
};

} // namespace cornellever::soak
