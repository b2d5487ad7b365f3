#include "cornellever/core/daemon.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>

namespace cornellever {

std::unique_ptr<asio::signal_set> on_stop_signal(asio::io_context& io, std::function<void()> on_stop) {
    auto signals = std::make_unique<asio::signal_set>(io, SIGTERM, SIGINT);
    signals->async_wait([stop = std::move(on_stop)](const boost::system::error_code& ec, int) {
        if (!ec) {
            stop();
        }
    });
    return signals;
}

bool start_logging(std::string_view role, std::string_view level) {
    severity minimum = severity::info;
    if (!parse_severity(level, minimum)) {
        std::fprintf(stderr, "--log-level must be debug, info, warning or error, not '%.*s'\n",
                     static_cast<int>(level.size()), level.data());
        return false;
    }
    init_logging(role, minimum);
    return true;
}

state_chart load_state_chart(std::string_view text, std::string_view name) {
    auto parsed = state_chart::parse(text, name);
    if (!parsed) {
        std::fprintf(stderr, "chart %s: %s\n", std::string{name}.c_str(), parsed.error().message.c_str());
        std::exit(1);
    }
    return std::move(*parsed);
}

bool parse_endpoints(std::span<const std::string> texts, std::vector<tcp::endpoint>& out) {
    for (const auto& text : texts) {
        tcp::endpoint address;
        if (!parse_endpoint(text, address)) {
            std::fprintf(stderr, "'%s' is not IP:PORT\n", text.c_str());
            return false;
        }
        out.push_back(address);
    }
    return true;
}

} // namespace cornellever
