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
    [[nodiscard]] std::optional<int> ended();

    [[nodiscard]] bool up() const noexcept { return m_child != nullptr; }
    [[nodiscard]] const std::string& name() const noexcept { return m_name; }
    [[nodiscard]] const tcp::endpoint& callers() const noexcept { return m_callers; }
    [[nodiscard]] const tcp::endpoint& readiness() const noexcept { return m_readiness; }
    [[nodiscard]] gateway& store_path() noexcept { return m_store_path; }

    /// In the balancer's rotation.
    bool ready{false};
    int missed_checks{0};
    time_point started_at{};
    /// Asked to stop by plan.
    std::optional<time_point> stopping_since{};
    /// Stopped by a signal until then.
    std::optional<time_point> paused_until{};
    std::optional<time_point> start_at{};

private:
    std::string m_binary;
    std::filesystem::path m_folder;
    std::string m_name;
    tcp::endpoint m_callers;
    tcp::endpoint m_readiness;
    gateway m_store_path;
    std::unique_ptr<boost::process::child> m_child;
};

} // namespace cornellever::soak
