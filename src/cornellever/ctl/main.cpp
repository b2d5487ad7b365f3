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
#include "cornellever/ctl/explain.hpp"
#include "cornellever/ctl/losses.hpp"
#include "cornellever/ctl/proxy_status.hpp"
#include "cornellever/rpc/channel.hpp"
#include "cornellever/rpc/envelope.hpp"
#include "cornellever/session/serve_settings.hpp"

namespace cornellever {

namespace {

constexpr auto call_deadline = std::chrono::milliseconds{5000};
constexpr auto in_force_limit = std::chrono::milliseconds{10'000};

/// Exit statuses of `ctl`.
enum exit_status : int { ok = 0, refused = 1, usage = 2, unreachable = 3 };

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
    tcp::endpoint where;
    if (!parse_endpoint(address, where)) {
        std::fprintf(stderr, "'%s' is not IP:PORT\n", address.c_str());
        return usage;
    }
    auto params = rpc::parse_json(params_text.empty() ? "{}" : params_text);
    if (!params) {
        std::fprintf(stderr, "params: %s\n", params.error().message.c_str());
        return usage;
    }
    auto answer = rpc::call_blocking(where, method, *params, call_deadline);
    if (!answer) {
        std::printf("%s: %s\n", std::string{to_string(answer.error().code)}.c_str(), answer.error().message.c_str());
        return answer.error().code == errc::unavailable ? unreachable : refused;
    }
    std::printf("%s", answer->toStyledString().c_str());
    return ok;
}

/// Prints a refusal of the platform and says what to do about a conflict.
int print_refusal(const error& refusal) {
    std::printf("refused (%s): %s\n", std::string{to_string(refusal.code)}.c_str(), refusal.message.c_str());
    if (refusal.code == errc::conflict) {
        std::printf("another operator applied a configuration meanwhile: fetch theirs, make your change there, "
                    "then apply again\n");
    }
    return refusal.code == errc::unavailable ? unreachable : refused;
}

/// Checks a settings file of the role `serve`; a settings template is checked
/// with every placeholder standing for an address.
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

/// What `apply` was told on the command line.
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
    std::optional<ctl::change_base> base;
    if (options.expected) {
        base = ctl::change_base{*options.expected, true};
    } else if (const auto noted = ctl::read_base(options.folder); noted) {
        base = ctl::change_base{*noted, false};
    }
    const auto version = ctl::apply(options.platform, loaded.config, base);
    if (!version) {
        return print_refusal(version.error());
    }
    std::printf("applied: version %llu\n", static_cast<unsigned long long>(*version));
    if (auto noted = ctl::write_base(options.folder, *version); !noted) {
        std::fprintf(stderr, "%s: the next apply of this folder needs --expect-version %llu\n",
                     noted.error().message.c_str(), static_cast<unsigned long long>(*version));
    }
    if (options.proxies.empty()) {
        return ok;
    }
    const auto took = ctl::await_in_force(options.proxies, *version, in_force_limit);
    if (!took) {
        std::printf("applied, but %s\n", took.error().message.c_str());
        return unreachable;
    }
    std::printf("in force on %zu prox%s after %lld ms\n", options.proxies.size(),
                options.proxies.size() == 1 ? "y" : "ies", static_cast<long long>(took->count()));
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
    if (!out || !ctl::write_base(folder, config->version)) {
        std::fprintf(stderr, "cannot write into %s\n", folder.c_str());
        return refused;
    }
    std::printf("fetched: version %llu into %s\n", static_cast<unsigned long long>(config->version), folder.c_str());
    return ok;
}

/// A file's text; nothing, and a message, when it can't be read.
std::optional<std::string> read_log(const std::string& name) {
    std::ifstream file{name};
    if (!file) {
        std::fprintf(stderr, "%s: cannot be read\n", name.c_str());
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>{file}, {}};
}

/// Prints what requests were lost to, by place, reason and service, and how
/// many in each second.
int run_losses(std::span<const std::string> files) {
    ctl::loss_table table;
    for (const auto& name : files) {
        const auto text = read_log(name);
        if (!text) {
            return usage;
        }
        table.take(*text);
    }
    std::printf("%8s %8s %8s  %-11s %-20s %s\n", "requests", "mean ms", "most ms", "place", "service", "reason");
    for (const auto& [kind, count] : table.rows()) {
        std::printf("%8llu %8lld %8lld  %-11s %-20s %s\n", static_cast<unsigned long long>(count.requests),
                    count.waited_ms / static_cast<long long>(count.requests), count.longest_ms,
                    std::string{to_string(kind.where)}.c_str(), kind.service.c_str(), kind.reason.c_str());
    }
    for (const auto& [second, count] : table.seconds()) {
        std::printf("%s %llu\n", second.c_str(), static_cast<unsigned long long>(count.requests));
    }
    return ok;
}

/// Prints what the logs say of a request, and marks what decided it.
int run_explain(const std::string& request, std::span<const std::string> files) {
    std::vector<ctl::request_line> lines;
    for (const auto& name : files) {
        const auto text = read_log(name);
        if (!text) {
            return usage;
        }
        ctl::collect_lines(request, name, *text, lines);
    }
    if (lines.empty()) {
        std::printf("no line tells of request %s\n", request.c_str());
        return refused;
    }
    ctl::order_lines(lines);
    for (const auto& item : lines) {
        std::printf("%s %s:%zu: %s\n", item.deciding ? "=>" : "  ", item.file.c_str(), item.number, item.text.c_str());
    }
    return ok;
}

int run_status(const tcp::endpoint& platform, const std::vector<tcp::endpoint>& proxies) {
    const auto config = ctl::fetch(platform);
    if (config) {
        std::printf("applied: version %llu\n", static_cast<unsigned long long>(config->version));
    } else {
        std::printf("platform: %s\n", config.error().message.c_str());
    }
    bool all = config.has_value();
    for (const auto& proxy : proxies) {
        const auto version = ctl::version_in_force(proxy);
        std::printf("%s: %s\n", to_string(proxy).c_str(),
                    version ? ("version " + std::to_string(*version)).c_str() : version.error().message.c_str());
        all = all && version && *version == config->version;
    }
    return all ? ok : refused;
}

/// The state of proxies that serve statement sessions, and what is wrong.
int run_serve_status(const std::vector<tcp::endpoint>& proxies) {
    std::vector<ctl::proxy_status> known;
    bool all = true;
    for (const auto& proxy : proxies) {
        const auto dump = rpc::call_blocking(proxy, "dump", Json::Value{Json::objectValue}, call_deadline);
        if (!dump) {
            std::printf("%s: %s\n", to_string(proxy).c_str(), dump.error().message.c_str());
            all = false;
            continue;
        }
        known.push_back(ctl::status_from(*dump));
        std::printf("%s\n", ctl::to_text(known.back()).c_str());
    }
    const auto wrong = ctl::problems(known);
    for (const auto& line : wrong) {
        std::printf("problem: %s\n", line.c_str());
    }
    return !all ? unreachable : wrong.empty() ? ok : refused;
}

} // namespace

int ctl_main(std::span<char*> args) {
    TCLAP::CmdLine cmd{"Operators' command line", ' ', "0.1"};
    TCLAP::UnlabeledValueArg<std::string> command{
        "command", "check, apply, fetch, status, dump, call, explain, losses or check-settings", true, "", "command",
        cmd};
    TCLAP::UnlabeledMultiArg<std::string> operands{"operands", "folder, or address [method [params]]", false, "operand",
                                                   cmd};
    TCLAP::ValueArg<std::string> platform{
        "", "platform", "IP:PORT of the platform (apply, fetch, status)", false, "", "address", cmd};
    TCLAP::MultiArg<std::string> proxies{
        "", "proxy", "IP:PORT of a proxy to wait for (apply) or ask (status); repeat for more", false, "address", cmd};
    TCLAP::ValueArg<std::uint64_t> expect{"", "expect-version", "apply only over this version", false, 0, "version",
                                          cmd};
    cmd.parse(static_cast<int>(args.size()), args.data());
    init_logging("ctl", severity::warning);
    const auto& words = operands.getValue();
    const auto& verb = command.getValue();
    if (verb == "check" && words.size() == 1) {
        return report(config::load_folder(words[0]));
    }
    if (verb == "dump" && words.size() == 1) {
        return print_call(words[0], "dump", "{}");
    }
    if (verb == "call" && (words.size() == 2 || words.size() == 3)) {
        return print_call(words[0], words[1], words.size() == 3 ? words[2] : "");
    }
    if (verb == "explain" && words.size() >= 2) {
        return run_explain(words[0], std::span{words}.subspan(1));
    }
    if (verb == "losses" && !words.empty()) {
        return run_losses(words);
    }
    if (verb == "check-settings" && words.size() == 1) {
        return run_check_settings(words[0]);
    }
    tcp::endpoint platform_at;
    std::vector<tcp::endpoint> proxies_at;
    if (!parse_endpoints(proxies.getValue(), proxies_at)) {
        return usage;
    }
    const bool has_platform = parse_endpoint(platform.getValue(), platform_at);
    if (verb == "apply" && words.size() == 1 && has_platform) {
        const auto expected = expect.isSet() ? std::optional{expect.getValue()} : std::nullopt;
        return run_apply({words[0], platform_at, expected, proxies_at});
    }
    if (verb == "fetch" && words.size() == 1 && has_platform) {
        return run_fetch(words[0], platform_at);
    }
    if (verb == "status" && words.empty() && has_platform) {
        return run_status(platform_at, proxies_at);
    }
    if (verb == "status" && words.empty() && !has_platform && !proxies_at.empty()) {
        return run_serve_status(proxies_at);
    }
    std::fprintf(stderr, "usage: cornellever ctl check DIR\n"
                         "       cornellever ctl apply DIR --platform IP:PORT [--expect-version N] [--proxy IP:PORT]\n"
                         "       cornellever ctl fetch DIR --platform IP:PORT\n"
                         "       cornellever ctl status --platform IP:PORT [--proxy IP:PORT]\n"
                         "       cornellever ctl status --proxy IP:PORT [--proxy IP:PORT]  (role serve)\n"
                         "       cornellever ctl dump IP:PORT | call IP:PORT METHOD [JSON]\n"
                         "       cornellever ctl losses LOG...\n"
                         "       cornellever ctl explain REQUEST LOG...\n"
                         "       cornellever ctl check-settings FILE\n");
    return usage;
}

} // namespace cornellever
