#include "cornellever/bench/load.hpp"

#include <sys/resource.h>

#include "cornellever/rpc/channel.hpp"

namespace cornellever::bench {

namespace {

constexpr auto call_deadline = std::chrono::milliseconds{5000};

using clock = std::chrono::steady_clock;

asio::awaitable<void> send_until(const load_plan& plan, clock::time_point until, load_result& totals) {
    rpc::channel link{co_await asio::this_coro::executor, plan.target};
    while (clock::now() < until) {
        const auto started = clock::now();
        auto answer = co_await link.call(plan.method, plan.params, call_deadline);
        if (answer) {
            ++totals.completed;
            totals.latency.record(clock::now() - started);
        } else {
            ++totals.failed;
            totals.unanswered += answer.error().code == errc::outcome_unknown ? 1 : 0;
            // A real caller would switch to another proxy when this proxy has
            // closed the connection or is unavailable.
            if (!link.usable() || answer.error().code == errc::unavailable) {
                break;
            }
        }
    }
    totals.bytes += link.bytes_sent() + link.bytes_received();
}

std::chrono::microseconds process_cpu_time() {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto micros = [](const timeval& value) {
        return std::chrono::seconds{value.tv_sec} + std::chrono::microseconds{value.tv_usec};
    };
    return micros(usage.ru_utime) + micros(usage.ru_stime);
}

asio::awaitable<void> hold_connection(tcp::endpoint target, std::string method, std::chrono::milliseconds hold,
                                      std::size_t& open) {
    rpc::channel link{co_await asio::this_coro::executor, target};
    auto answer = co_await link.call(method, Json::Value{Json::objectValue}, call_deadline);
    if (!link.usable() || (!answer && answer.error().code == errc::unavailable)) {
        co_return;
    }
    ++open;
    asio::steady_timer wait{co_await asio::this_coro::executor, hold};
    boost::system::error_code ignored;
    co_await wait.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

double load_result::per_second() const {
    const auto seconds = std::chrono::duration<double>(elapsed).count();
    return seconds > 0 ? static_cast<double>(completed) / seconds : 0.0;
}

load_result run_load(const load_plan& plan) {
    asio::io_context io;
    load_result out;
    const auto started = clock::now();
    const auto cpu_before = process_cpu_time();
    const auto until = started + plan.duration;
    for (std::size_t index = 0; index < plan.sessions; ++index) {
        asio::co_spawn(io, send_until(plan, until, out), asio::detached);
    }
    io.run();
    out.elapsed = clock::now() - started;
    out.cpu = process_cpu_time() - cpu_before;
    return out;
}

std::size_t hold_connections(const tcp::endpoint& target, std::string_view method, std::size_t count,
                             std::chrono::milliseconds hold) {
    asio::io_context io;
    std::size_t open = 0;
    for (std::size_t index = 0; index < count; ++index) {
        asio::co_spawn(io, hold_connection(target, std::string{method}, hold, open), asio::detached);
    }
    io.run();
    return open;
}

} // namespace cornellever::bench
