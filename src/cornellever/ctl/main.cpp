#include <cstdio>
#include <optional>

#include <tclap/CmdLine.h>

#include "cornellever/config/load.hpp"
#include "cornellever/core/daemon.hpp"
#include "cornellever/core/role.hpp"
#include "cornellever/ctl/apply.hpp"
#include "cornellever/rpc/channel.hpp"
#include "cornellever/rpc/envelope.hpp"

namespace cornellever {

namespace {

constexpr auto call_deadline = std::chrono::milliseconds{5000};

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

int run_apply(const std::string& folder, const std::string& platform, std::optional<std::uint64_t> expected) {
    const auto loaded = config::load_folder(folder);
    if (const int status = report(loaded); status != ok) {
        return status;
    }
    tcp::endpoint where;
    if (!parse_endpoint(platform, where)) {
        std::fprintf(stderr, "--platform must be IP:PORT\n");
        return usage;
    }
    auto version = ctl::apply(where, loaded.config, expected);
    if (!version) {
        std::printf("refused (%s): %s\n", std::string{to_string(version.error().code)}.c_str(),
                    version.error().message.c_str());
        if (version.error().code == errc::conflict) {
            std::printf("another operator applied a configuration meanwhile: check theirs, then apply again\n");
        }
        return version.error().code == errc::unavailable ? unreachable : refused;
    }
    std::printf("applied: version %llu\n", static_cast<unsigned long long>(*version));
    return ok;
}

} // namespace

int ctl_main(std::span<char*> args) {
    TCLAP::CmdLine cmd{"Operators' command line: check, apply, dump, call", ' ', "0.1"};
    TCLAP::UnlabeledValueArg<std::string> command{"command", "check, apply, dump or call", true, "", "command", cmd};
    TCLAP::UnlabeledMultiArg<std::string> operands{"operands", "folder, or address [method [params]]", false, "operand",
                                                   cmd};
    TCLAP::ValueArg<std::string> platform{"", "platform", "IP:PORT of the platform (apply)", false, "", "address", cmd};
    TCLAP::ValueArg<std::uint64_t> expect{"", "expect-version", "apply only over this version", false, 0, "version",
                                          cmd};
    cmd.parse(static_cast<int>(args.size()), args.data());
    init_logging("ctl", severity::warning);
    const auto& words = operands.getValue();
    const auto& verb = command.getValue();
    if (verb == "check" && words.size() == 1) {
        return report(config::load_folder(words[0]));
    }
    if (verb == "apply" && words.size() == 1) {
        return run_apply(words[0], platform.getValue(),
                         expect.isSet() ? std::optional{expect.getValue()} : std::nullopt);
    }
    if (verb == "dump" && words.size() == 1) {
        return print_call(words[0], "dump", "{}");
    }
    if (verb == "call" && (words.size() == 2 || words.size() == 3)) {
        return print_call(words[0], words[1], words.size() == 3 ? words[2] : "");
    }
    std::fprintf(stderr, "usage: cornellever ctl check DIR | apply DIR --platform IP:PORT [--expect-version N]"
                         " | dump IP:PORT | call IP:PORT METHOD [JSON]\n");
    return usage;
}

} // namespace cornellever
