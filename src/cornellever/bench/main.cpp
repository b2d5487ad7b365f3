#include <algorithm>
#include <cstdio>
#include <fstream>

#include <tclap/CmdLine.h>

#include "cornellever/bench/differential.hpp"
#include "cornellever/bench/failover_gap.hpp"
#include "cornellever/bench/load.hpp"
#include "cornellever/bench/session_script.hpp"
#include "cornellever/bench/verify.hpp"
#include "cornellever/core/daemon.hpp"
#include "cornellever/core/role.hpp"
#include "cornellever/rpc/envelope.hpp"

namespace cornellever {

namespace {

int run_session_mode(const std::string& script, const std::vector<tcp::endpoint>& proxies,
                     const std::string& transcript) {
    auto steps = bench::read_session_script(script);
    if (!steps) {
        std::fprintf(stderr, "%s\n", steps.error().message.c_str());
        return 2;
    }
    const auto exchanges = bench::run_session(*steps, proxies);
    std::ofstream out;
    if (!transcript.empty()) {
        out.open(transcript, std::ios::trunc);
    }
    int failures = 0;
    for (std::size_t index = 0; index < exchanges.size(); ++index) {
        const auto& item = exchanges[index];
        const auto& step = (*steps)[index];
        const auto& served = item.answer["served_by"];
        std::printf(
            "%-2zu proxy %c  %-8s %-44s -> %s%s%s\n", index + 1, static_cast<char>('A' + item.proxy),
            item.method.c_str(), step.description.c_str(), item.ok ? "ok" : item.answer["error"].asCString(),
            served.isObject() ? (" by " + served["role"].asString() + " " + served["instance"].asString()).c_str() : "",
            item.answer["rows"].isArray() && !item.answer["rows"].empty()
                ? ("  rows " + rpc::to_text(item.answer["rows"])).c_str()
                : "");
        failures += item.ok ? 0 : 1;
        if (out) {
            out << rpc::to_text(bench::normalised(item)) << "\n";
        }
    }
    std::printf("session: %zu requests, %d failed\n", exchanges.size(), failures);
    return 0;
}

void print_figures(const char* label, const bench::load_result& figures) {
    std::printf("%-22s %8zu ok %4zu failed %4zu cut  %9.0f statements/s  p50 %7.0f us  p99 %7.0f us\n", label,
                figures.completed, figures.failed, figures.unanswered, figures.per_second(),
                figures.latency.quantile_us(0.5), figures.latency.quantile_us(0.99));
}

int run_call_mode(const tcp::endpoint& target, const std::string& method, const std::string& params_text,
                  std::size_t sessions, int millis) {
    auto params = rpc::parse_json(params_text);
    if (!params) {
        std::fprintf(stderr, "--params: %s\n", params.error().message.c_str());
        return 2;
    }
    const auto figures = bench::run_load({target, method, *params, sessions, std::chrono::milliseconds{millis}});
    const auto calls = static_cast<double>(std::max<std::size_t>(figures.completed + figures.failed, 1));
    print_figures(method.c_str(), figures);
    std::printf("per call: client cpu %.1f us, %.0f bytes on the wire (both ways, HTTP included)\n",
                static_cast<double>(figures.cpu.count()) / calls, static_cast<double>(figures.bytes) / calls);
    return 0;
}

int run_load_mode(const tcp::endpoint& proxy, const tcp::endpoint& direct, const std::string& service,
                  const std::string& database, const std::string& sql, std::size_t sessions, int millis) {
    Json::Value statement;
    statement["sql"] = sql;
    statement["params"] = Json::arrayValue;
    auto proxied_statement = statement;
    proxied_statement["service"] = service;
    proxied_statement["database"] = database;
    proxied_statement["mode"] = "write";
    const auto duration = std::chrono::milliseconds{millis};
    const auto proxied_figures = bench::run_load({proxy, "execute", proxied_statement, sessions, duration});
    const auto direct_figures = bench::run_load({direct, "execute", statement, sessions, duration});
    print_figures("through the proxy", proxied_figures);
    print_figures("directly to backend", direct_figures);
    std::printf("ratio proxy/direct: throughput %.2f  p50 %.2f  p99 %.2f\n",
                proxied_figures.per_second() / std::max(direct_figures.per_second(), 1e-9),
                proxied_figures.latency.quantile_us(0.5) / std::max(direct_figures.latency.quantile_us(0.5), 1e-9),
                proxied_figures.latency.quantile_us(0.99) / std::max(direct_figures.latency.quantile_us(0.99), 1e-9));
    return proxied_figures.failed + direct_figures.failed == 0 ? 0 : 1;
}

double fraction(std::size_t part, std::size_t whole) {
    return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
}

void print_findings(const char* what, const std::vector<std::string>& findings) {
    std::printf("%-28s %zu\n", what, findings.size());
    constexpr std::size_t shown = 5;
    for (std::size_t index = 0; index < std::min(findings.size(), shown); ++index) {
        std::printf("    %s\n", findings[index].c_str());
    }
}

int run_verify_mode(const bench::verify_plan& plan) {
    const auto report = bench::run_verify(plan);
    std::printf("outcomes: done %zu, not run %zu, unknown %zu\n", report.done, report.not_run, report.unknown);
    std::printf("reads of own writes %zu, by replicas %.3f\n", report.reads,
                fraction(report.replica_reads, report.reads));
    print_findings("reads without an answer", report.read_errors);
    std::printf("longest time without an acknowledged write %lld ms\n",
                static_cast<long long>(report.longest_gap.count()));
    std::printf("writes p50 %.0f us p99 %.0f us, reads p50 %.0f us p99 %.0f us\n",
                report.write_latency.quantile_us(0.5), report.write_latency.quantile_us(0.99),
                report.read_latency.quantile_us(0.5), report.read_latency.quantile_us(0.99));
    print_findings("acknowledged, not exactly once", report.not_exactly_once);
    print_findings("reported not run, but ran", report.unexpectedly_applied);
    print_findings("incomplete or applied twice", report.partially_applied);
    print_findings("own write missing", report.missing_own_writes);
    if (!report.check_failure.empty()) {
        std::printf("not checked: %s\n", report.check_failure.c_str());
    }
    std::printf("verdict: %s\n", report.clean() ? "clean" : "BROKEN");
    return report.clean() ? 0 : 1;
}

int run_gap_mode(const bench::failover_gap_plan& plan) {
    const auto report = bench::measure_failover_gap(plan);
    for (const auto gap : report.gaps) {
        std::printf("gap %lld ms\n", static_cast<long long>(gap.count()));
    }
    std::printf("failover gap over %zu rounds: p50 %.0f ms p99 %.0f ms max %lld ms\n", report.gaps.size(),
                report.histogram.quantile_us(0.5) / 1000, report.histogram.quantile_us(0.99) / 1000,
                report.gaps.empty() ? 0LL : static_cast<long long>(std::ranges::max(report.gaps).count()));
    if (report.naive_gap) {
        std::printf("naive version, primary away for %lld ms: gap %lld ms\n",
                    static_cast<long long>(plan.naive_outage.count()),
                    static_cast<long long>(report.naive_gap->count()));
    }
    if (!report.failure.empty()) {
        std::printf("ended early: %s\n", report.failure.c_str());
    }
    return report.failure.empty() ? 0 : 1;
}

int run_differential_mode(const bench::differential_plan& plan) {
    const auto report = bench::run_differential(plan);
    std::printf("answers compared %zu, reads %zu, by replicas %.3f (naive 0)\n", report.answers, report.reads,
                fraction(report.replica_reads, report.reads));
    std::printf("proxied p50 %.0f us p99 %.0f us, naive p50 %.0f us p99 %.0f us\n", report.proxied.quantile_us(0.5),
                report.proxied.quantile_us(0.99), report.naive.quantile_us(0.5), report.naive.quantile_us(0.99));
    print_findings("differences", report.differences);
    if (!report.failure.empty()) {
        std::printf("ended early: %s\n", report.failure.c_str());
    }
    return report.differences.empty() && report.failure.empty() ? 0 : 1;
}

} // namespace

int bench_main(std::span<char*> args) {
    TCLAP::CmdLine cmd{"Load and experiment tool: scripted sessions and load through proxies", ' ', "0.1"};
    TCLAP::UnlabeledValueArg<std::string> mode{
        "mode", "session, verify, gap, differential, load, call or hold", true, "", "mode", cmd};
    TCLAP::MultiArg<std::string> proxies{"", "proxy", "IP:PORT of a proxy (repeat for more)", false, "address", cmd};
    TCLAP::ValueArg<std::string> script{"", "script", "session script (JSON)", false, "", "path", cmd};
    TCLAP::ValueArg<std::string> transcript{"",     "transcript", "write the normalised session here", false, "",
                                            "path", cmd};
    TCLAP::ValueArg<std::string> direct{
        "",    "direct", "IP:PORT of the backend primary (load) or the naive version (gap, differential)",
        false, "",       "address",
        cmd};
    TCLAP::ValueArg<std::string> service{"", "service", "service (load)", false, "stockbook", "name", cmd};
    TCLAP::ValueArg<std::string> database{"", "database", "database (load)", false, "catalogue", "name", cmd};
    TCLAP::ValueArg<std::string> sql{
        "", "sql", "statement (load)", false, "SELECT id, kind, price_fjd FROM units WHERE id = 1", "sql", cmd};
    TCLAP::ValueArg<std::size_t> sessions{"", "sessions", "concurrent sessions (load)", false, 8, "count", cmd};
    TCLAP::ValueArg<std::string> target{"", "target", "IP:PORT of any role (call, hold)", false, "", "address", cmd};
    TCLAP::ValueArg<std::string> method{"", "method", "method to call (call, hold)", false, "status", "name", cmd};
    TCLAP::ValueArg<std::string> params{"", "params", "params as JSON (call)", false, "{}", "json", cmd};
    TCLAP::ValueArg<std::size_t> connections{"", "connections", "connections to hold (hold)", false, 1000, "count",
                                             cmd};
    TCLAP::ValueArg<int> millis{"", "duration-ms", "how long each load runs", false, 2000, "ms", cmd};
    TCLAP::ValueArg<std::uint64_t> seed{"",       "seed", "seed of random scripts (verify, differential)", false, 1,
                                        "number", cmd};
    TCLAP::ValueArg<int> rounds{"", "rounds", "lost primaries (gap)", false, 5, "count", cmd};
    TCLAP::ValueArg<std::size_t> steps{"", "steps", "steps of each session (differential)", false, 30, "count", cmd};
    cmd.parse(static_cast<int>(args.size()), args.data());
    init_logging("bench", severity::warning);
    tcp::endpoint server_address;
    if (mode.getValue() == "call" && parse_endpoint(target.getValue(), server_address)) {
        return run_call_mode(server_address, method.getValue(), params.getValue(), sessions.getValue(),
                             millis.getValue());
    }
    if (mode.getValue() == "hold" && parse_endpoint(target.getValue(), server_address)) {
        const auto open = bench::hold_connections(server_address, method.getValue(), connections.getValue(),
                                                  std::chrono::milliseconds{millis.getValue()});
        std::printf("held %zu connections for %d ms\n", open, millis.getValue());
        return open == connections.getValue() ? 0 : 1;
    }
    std::vector<tcp::endpoint> targets;
    if (!parse_endpoints(proxies.getValue(), targets) || targets.empty()) {
        std::fprintf(stderr, "give at least one --proxy IP:PORT\n");
        return 2;
    }
    if (mode.getValue() == "session") {
        return run_session_mode(script.getValue(), targets, transcript.getValue());
    }
    const bench::target_database selected_database{service.getValue(), database.getValue()};
    if (mode.getValue() == "verify") {
        return run_verify_mode({.proxies = targets,
                                .target = selected_database,
                                .callers = sessions.getValue(),
                                .duration = std::chrono::milliseconds{millis.getValue()},
                                .seed = seed.getValue()});
    }
    tcp::endpoint backend;
    if (mode.getValue() == "gap") {
        bench::failover_gap_plan plan{targets, selected_database, rounds.getValue(), std::nullopt};
        if (parse_endpoint(direct.getValue(), backend)) {
            plan.naive = backend;
        }
        return run_gap_mode(plan);
    }
    if (mode.getValue() == "differential" && parse_endpoint(direct.getValue(), backend)) {
        return run_differential_mode(
            {targets, backend, selected_database, sessions.getValue(), steps.getValue(), seed.getValue()});
    }
    if (mode.getValue() == "load" && parse_endpoint(direct.getValue(), backend)) {
        return run_load_mode(targets.front(), backend, service.getValue(), database.getValue(), sql.getValue(),
                             sessions.getValue(), millis.getValue());
    }
    std::fprintf(stderr, "usage: cornellever bench session --proxy A --proxy B --script FILE [--transcript OUT]\n"
                         "       cornellever bench verify --proxy A --proxy B [--sessions N --duration-ms M --seed S]\n"
                         "       cornellever bench gap --proxy A --proxy B [--rounds N --direct NAIVE]\n"
                         "       cornellever bench differential --proxy A --proxy B --direct NAIVE [--seed S]\n"
                         "       cornellever bench load --proxy A --direct BACKEND [--sessions N --duration-ms M]\n"
                         "       cornellever bench call --target ADDR --method M [--params JSON --sessions N]\n"
                         "       cornellever bench hold --target ADDR --connections N --duration-ms M\n");
    return 2;
}

} // namespace cornellever
