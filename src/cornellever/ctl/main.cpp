#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <span>

#include <tclap/CmdLine.h>

#include "cornellever/config/ini_text.hpp"
#include "cornellever/config/load.hpp"
#include "cornellever/core/daemon.hpp"
#include "cornellever/core/role.hpp"
#include "cornellever/ctl/apply.hpp"
#include "cornellever/ctl/base_version.hpp"
#include "cornellever/ctl/exit_status.hpp"
#include "cornellever/ctl/log_commands.hpp"
#include "cornellever/ctl/proxy_status.hpp"
#include "cornellever/ctl/service_load.hpp"
#include "cornellever/rpc/channel.hpp"
#include "cornellever/rpc/envelope.hpp"
#include "cornellever/session/serve_settings.hpp"

namespace cornellever {

namespace {

using ctl::ok;
using ctl::refused;
using ctl::unreachable;
using ctl::usage;

constexpr auto call_timeout = std::chrono::milliseconds{5000};
constexpr auto in_force_timeout = std::chrono::milliseconds{10'000};

std::size_t count_instances(const config::cluster& config) {
    std::size_t count = 0;
    for (const auto& svc : config.services) {
        for (const auto& db : svc.databases) {
            count += db.instances.size();
        }
    }
    return count;
}

int report(const config::load_result& loaded) {
    for (const auto& item : loaded.findings) {
        std::printf("%s\n", ini::to_string(item).c_str());
    }
    if (!loaded.ok()) {
        std::printf("refused: %zu finding%s; nothing was changed\n", loaded.findings.size(),
                    loaded.findings.size() == 1 ? "" : "s");
        return refused;
    }
    std::printf("ok: %zu service%s, %zu instances\n", loaded.config.services.size(),
                loaded.config.services.size() == 1 ? "" : "s", count_instances(loaded.config));
    return ok;
}

int print_call(const std::string& address, const std::string& method, const std::string& params_text) {
    tcp::endpoint peer;
    if (!parse_endpoint(address, peer)) {
        std::fprintf(stderr, "'%s' is not IP:PORT\n", address.c_str());
        return usage;
    }
    auto params = rpc::parse_json(params_text.empty() ? "{}" : params_text);
    if (!params) {
        std::fprintf(stderr, "params: %s\n", params.error().message.c_str());
        return usage;
    }
    auto answer = rpc::call_blocking(peer, method, *params, call_timeout);
    if (!answer) {
        std::printf("%s: %s\n", std::string{to_string(answer.error().code)}.c_str(), answer.error().message.c_str());
        return answer.error().code == errc::unavailable ? unreachable : refused;
    }
    std::printf("%s", answer->toStyledString().c_str());
    return ok;
}

/// Prints an error returned by the platform (the external service that keeps the
/// configuration and the list of VMs) and, for a conflict, how to resolve the
/// conflict. Returns the exit status.
int print_refusal(const error& refusal) {
    std::printf("refused (%s): %s\n", std::string{to_string(refusal.code)}.c_str(), refusal.message.c_str());
    if (refusal.code == errc::conflict) {
        std::printf("another operator applied a configuration meanwhile: fetch theirs, make your change there, "
                    "then apply again\n");
    }
    return refusal.code == errc::unavailable ? unreachable : refused;
}

/// Checks a settings file of a proxy (role `serve`) or a template of such a file,
/// whose placeholders are replaced by addresses for the check.
int run_check_settings(const std::string& name) {
    std::ifstream file{name};
    if (!file) {
        std::fprintf(stderr, "%s: cannot be read\n", name.c_str());
        return usage;
    }
    const std::string text{std::istreambuf_iterator<char>{file}, {}};
    session::serve_settings unused;
    const auto findings = session::read_serve_settings(session::fill_placeholders(text), name, unused);
    for (const auto& item : findings) {
        std::printf("%s\n", ini::to_string(item).c_str());
    }
    std::printf(findings.empty() ? "ok\n" : "refused\n");
    return findings.empty() ? ok : refused;
}

/// Command-line options of `apply`.
struct apply_options {
    std::string folder;
    tcp::endpoint platform;
    std::optional<std::uint64_t> expected;
    std::vector<tcp::endpoint> proxies;
};

int run_apply(const apply_options& options) {
    const auto loaded = config::load_folder(options.folder);
    if (const int status = report(loaded); status != ok) {
        return status;
    }
    std::optional<ctl::expected_base> base;
    if (options.expected) {
        base = ctl::expected_base{*options.expected, true};
    } else if (const auto recorded = ctl::read_base_version(options.folder); recorded) {
        base = ctl::expected_base{*recorded, false};
    }
    const auto version = ctl::apply(options.platform, loaded.config, base);
    if (!version) {
        return print_refusal(version.error());
    }
    std::printf("applied: version %llu\n", static_cast<unsigned long long>(*version));
    if (auto recorded = ctl::write_base_version(options.folder, *version); !recorded) {
        std::fprintf(stderr, "%s: the next apply of this folder needs --expect-version %llu\n",
                     recorded.error().message.c_str(), static_cast<unsigned long long>(*version));
    }
    if (options.proxies.empty()) {
        return ok;
    }
    const auto elapsed = ctl::wait_until_in_force(options.proxies, *version, in_force_timeout);
    if (!elapsed) {
        std::printf("applied, but %s\n", elapsed.error().message.c_str());
        return unreachable;
    }
    std::printf("in force on %zu prox%s after %lld ms\n", options.proxies.size(),
                options.proxies.size() == 1 ? "y" : "ies", static_cast<long long>(elapsed->count()));
    return ok;
}

int run_fetch(const std::filesystem::path& folder, const tcp::endpoint& platform) {
    std::error_code ec;
    if (std::filesystem::exists(folder, ec) && !std::filesystem::is_empty(folder, ec)) {
        std::fprintf(stderr, "%s is not empty: fetch into a new folder\n", folder.c_str());
        return usage;
    }
    const auto config = ctl::fetch(platform);
    if (!config) {
        return print_refusal(config.error());
    }
    std::filesystem::create_directories(folder, ec);
    std::ofstream out{folder / "00-applied.ini", std::ios::trunc};
    out << config::to_ini(*config);
    out.flush();
    if (!out || !ctl::write_base_version(folder, config->version)) {
        std::fprintf(stderr, "cannot write into %s\n", folder.c_str());
        return refused;
    }
    std::printf("fetched: version %llu into %s\n", static_cast<unsigned long long>(config->version), folder.c_str());
    return ok;
}

int run_status(const tcp::endpoint& platform, const std::vector<tcp::endpoint>& proxies) {
    const auto config = ctl::fetch(platform);
    if (config) {
        std::printf("applied: version %llu\n", static_cast<unsigned long long>(config->version));
    } else {
        std::printf("platform: %s\n", config.error().message.c_str());
    }
    bool all_ok = config.has_value();
    for (const auto& proxy : proxies) {
        const auto version = ctl::version_in_force(proxy);
        std::printf("%s: %s\n", to_string(proxy).c_str(),
                    version ? ("version " + std::to_string(*version)).c_str() : version.error().message.c_str());
        all_ok = all_ok && version && *version == config->version;
    }
    return all_ok ? ok : refused;
}

/// Prints the status and the problems of proxies, which are processes with the
/// role `serve`.
int run_serve_status(const std::vector<tcp::endpoint>& proxies) {
    std::vector<ctl::proxy_status> proxy_statuses;
    bool all_ok = true;
    for (const auto& proxy : proxies) {
        const auto dump = rpc::call_blocking(proxy, "dump", Json::Value{Json::objectValue}, call_timeout);
        if (!dump) {
            std::printf("%s: %s\n", to_string(proxy).c_str(), dump.error().message.c_str());
            all_ok = false;
            continue;
        }
        proxy_statuses.push_back(ctl::parse_status(*dump));
        std::printf("%s\n", ctl::to_text(proxy_statuses.back()).c_str());
    }
    const auto found_problems = ctl::find_problems(proxy_statuses);
    for (const auto& line : found_problems) {
        std::printf("problem: %s\n", line.c_str());
    }
    return !all_ok ? unreachable : found_problems.empty() ? ok : refused;
}

/// Prints the load of a service as seen by proxies, which are processes with the role `serve`.
int run_load(const std::string& service, const std::vector<tcp::endpoint>& proxies) {
    std::vector<Json::Value> dumps;
    for (const auto& proxy : proxies) {
        auto dump = rpc::call_blocking(proxy, "dump", Json::Value{Json::objectValue}, call_timeout);
        if (!dump) {
            std::fprintf(stderr, "%s: %s\n", to_string(proxy).c_str(), dump.error().message.c_str());
            continue;
        }
        dumps.push_back(std::move(*dump));
    }
    if (dumps.empty()) {
        std::fprintf(stderr, "none of the proxies replied\n");
        return refused;
    }
    const auto load = ctl::summarize_load(service, dumps);
    if (!load) {
        std::fprintf(stderr, "none of the %zu proxies that replied uses the service \"%s\"\n", dumps.size(),
                     service.c_str());
        return refused;
    }
    std::printf("%s", ctl::to_text(*load).c_str());
    return dumps.size() == proxies.size() ? ok : unreachable;
}

} // namespace

int ctl_main(std::span<char*> args) {
    TCLAP::CmdLine cmd{"Operators' command line", ' ', "0.1"};
    TCLAP::UnlabeledValueArg<std::string> command{
        "command", "check, apply, fetch, status, dump, call, explain, load, losses or check-settings",
        true,      "",
        "command", cmd};
    TCLAP::UnlabeledMultiArg<std::string> operands{"operands", "folder, or address [method [params]]", false, "operand",
                                                   cmd};
    TCLAP::ValueArg<std::string> platform{
        "", "platform", "IP:PORT of the platform (apply, fetch, status)", false, "", "address", cmd};
    TCLAP::MultiArg<std::string> proxies{
        "",    "proxy",   "IP:PORT of a proxy to wait for (apply) or ask (load, status); repeat for more",
        false, "address", cmd};
    TCLAP::ValueArg<std::uint64_t> expect{"", "expect-version", "apply only over this version", false, 0, "version",
                                          cmd};
    cmd.parse(static_cast<int>(args.size()), args.data());
    init_logging("ctl", severity::warning);
    const auto& operand_values = operands.getValue();
    const auto& verb = command.getValue();
    if (verb == "check" && operand_values.size() == 1) {
        return report(config::load_folder(operand_values[0]));
    }
    if (verb == "dump" && operand_values.size() == 1) {
        return print_call(operand_values[0], "dump", "{}");
    }
    if (verb == "call" && (operand_values.size() == 2 || operand_values.size() == 3)) {
        return print_call(operand_values[0], operand_values[1], operand_values.size() == 3 ? operand_values[2] : "");
    }
    if (verb == "explain" && operand_values.size() >= 2) {
        return ctl::run_explain(operand_values[0], std::span{operand_values}.subspan(1));
    }
    if (verb == "losses" && !operand_values.empty()) {
        return ctl::run_losses(operand_values);
    }
    if (verb == "check-settings" && operand_values.size() == 1) {
        return run_check_settings(operand_values[0]);
    }
    tcp::endpoint platform_endpoint;
    std::vector<tcp::endpoint> proxy_endpoints;
    if (!parse_endpoints(proxies.getValue(), proxy_endpoints)) {
        return usage;
    }
    const bool has_platform = parse_endpoint(platform.getValue(), platform_endpoint);
    if (verb == "apply" && operand_values.size() == 1 && has_platform) {
        const auto expected = expect.isSet() ? std::optional{expect.getValue()} : std::nullopt;
        return run_apply({operand_values[0], platform_endpoint, expected, proxy_endpoints});
    }
    if (verb == "fetch" && operand_values.size() == 1 && has_platform) {
        return run_fetch(operand_values[0], platform_endpoint);
    }
    if (verb == "load" && operand_values.size() == 1 && !proxy_endpoints.empty()) {
        return run_load(operand_values[0], proxy_endpoints);
    }
    if (verb == "status" && operand_values.empty() && has_platform) {
        return run_status(platform_endpoint, proxy_endpoints);
    }
    if (verb == "status" && operand_values.empty() && !has_platform && !proxy_endpoints.empty()) {
        return run_serve_status(proxy_endpoints);
    }
    std::fprintf(stderr, "usage: cornellever ctl check DIR\n"
                         "       cornellever ctl apply DIR --platform IP:PORT [--expect-version N] [--proxy IP:PORT]\n"
                         "       cornellever ctl fetch DIR --platform IP:PORT\n"
                         "       cornellever ctl status --platform IP:PORT [--proxy IP:PORT]\n"
                         "       cornellever ctl status --proxy IP:PORT [--proxy IP:PORT]  (role serve)\n"
                         "       cornellever ctl dump IP:PORT | call IP:PORT METHOD [JSON]\n"
                         "       cornellever ctl load SERVICE --proxy IP:PORT [--proxy IP:PORT]  (role serve)\n"
                         "       cornellever ctl losses LOG...\n"
                         "       cornellever ctl explain REQUEST LOG...\n"
                         "       cornellever ctl check-settings FILE\n");
    return usage;
}

} // namespace cornellever
