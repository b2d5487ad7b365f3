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

/// One real proxy process, with its own gateways to the store.
class proxy_process {
public:
    proxy_process(asio::io_context& io, std::string binary, std::filesystem::path folder, std::string name,
                  std::string data_center, const std::string& ip, const tcp::endpoint& seed,
                  const tcp::endpoint& store);

    void start();
    void signal(int number);
    /// Notices an end; returns the exit code once.
    [[nodiscard]] std::optional<int> poll_exit();

    [[nodiscard]] bool running() const noexcept { return m_child != nullptr; }
    [[nodiscard]] const std::string& name() const noexcept { return m_name; }
    [[nodiscard]] const tcp::endpoint& caller_endpoint() const noexcept { return m_caller_endpoint; }
    [[nodiscard]] const tcp::endpoint& readiness_endpoint() const noexcept { return m_readiness_endpoint; }
    [[nodiscard]] tcp_forwarder& store_forwarder() noexcept { return m_store_forwarder; }

    /// In the balancer's rotation.
    bool in_rotation{false};
    int missed_checks{0};
    time_point started_at{};
    /// Asked to stop by plan.
    std::optional<time_point> stopping_since{};
    /// Stopped by a signal until then.
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
