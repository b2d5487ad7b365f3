#include "cornellever/bench/load.hpp"

#include "cornellever/rpc/channel.hpp"

namespace cornellever::bench {

namespace {

constexpr auto call_deadline = std::chrono::milliseconds{5000};

using clock = std::chrono::steady_clock;

asio::awaitable<void> one_session(const load_plan& plan, clock::time_point until, load_figures& into) {
    rpc::channel link{co_await asio::this_coro::executor, plan.target};
    while (clock::now() < until) {
        const auto started = clock::now();
        auto answer = co_await link.call(plan.method, plan.params, call_deadline);
        if (answer) {
            ++into.completed;
            into.latency.record(clock::now() - started);
        } else {
            ++into.failed;
            if (!link.usable()) {
                co_return;
            }
        }
    }
}

} // namespace

double load_figures::per_second() const {
    const auto seconds = std::chrono::duration<double>(elapsed).count();
    return seconds > 0 ? static_cast<double>(completed) / seconds : 0.0;
}

load_figures run_load(const load_plan& plan) {
    asio::io_context io;
    load_figures out;
    const auto started = clock::now();
    const auto until = started + plan.duration;
    for (std::size_t index = 0; index < plan.sessions; ++index) {
        asio::co_spawn(io, one_session(plan, until, out), asio::detached);
    }
    io.run();
    out.elapsed = clock::now() - started;
    return out;
}

} // namespace cornellever::bench
