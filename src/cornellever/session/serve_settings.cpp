#include "cornellever/session/serve_settings.hpp"

#include <charconv>
#include <cmath>
#include <functional>
#include <map>
#include <optional>
#include <set>

#include "cornellever/config/parsing.hpp"
#include "cornellever/ini/reader.hpp"

namespace cornellever::session {

namespace {

/// Takes a value; returns what is wrong with it.
using reader = std::function<std::optional<std::string>(const std::string&, serve_settings&)>;

reader text(std::string serve_settings::*member) {
    return [member](const std::string& value, serve_settings& out) -> std::optional<std::string> {
        if (value.empty()) {
            return "must not be empty";
        }
        out.*member = value;
        return std::nullopt;
    };
}

reader address(tcp::endpoint serve_settings::*member) {
    return [member](const std::string& value, serve_settings& out) -> std::optional<std::string> {
        if (!parse_endpoint(value, out.*member)) {
            return "must be IP:PORT, not '" + value + "'";
        }
        return std::nullopt;
    };
}

std::optional<std::string> read_grace(const std::string& value, serve_settings& out) {
    constexpr int longest_s = 3600;
    int seconds = 0;
    const auto* const end = value.data() + value.size();
    const auto got = std::from_chars(value.data(), end, seconds);
    if (got.ec != std::errc{} || got.ptr != end || seconds < 1 || seconds > longest_s) {
        return "must be whole seconds from 1 to 3600, not '" + value + "'";
    }
    out.grace = std::chrono::seconds{seconds};
    return std::nullopt;
}

/// Left empty where there is no bound.
std::optional<std::string> read_revocation(const std::string& value, serve_settings& out) {
    constexpr long least_ms = 1000;
    constexpr long longest_ms = 3'600'000;
    out.revocation.reset();
    if (value.empty()) {
        return std::nullopt;
    }
    long ms = 0;
    const auto* const end = value.data() + value.size();
    const auto got = std::from_chars(value.data(), end, ms);
    if (got.ec != std::errc{} || got.ptr != end || ms < least_ms || ms > longest_ms) {
        return "must be whole milliseconds from 1000 to 3600000, or empty, not '" + value + "'";
    }
    out.revocation = std::chrono::milliseconds{ms};
    return std::nullopt;
}

std::optional<std::string> read_limits(const std::string& value, serve_settings& out) {
    tcp::endpoint where;
    if (!parse_endpoint(value, where)) {
        return "must be IP:PORT, not '" + value + "'";
    }
    out.limits = {where.address(), where.port()};
    return std::nullopt;
}

/// Reads a number from `least` to `most` into a field; `what` names its unit.
std::optional<std::string> read_number(const std::string& value, double least, double most, std::string_view what,
                                       double& into) {
    const auto* const end = value.data() + value.size();
    const auto got = std::from_chars(value.data(), end, into);
    if (got.ec != std::errc{} || got.ptr != end || into < least || into > most) {
        return "must be " + std::string{what} + ", not '" + value + "'";
    }
    return std::nullopt;
}

std::optional<std::string> read_limit_window(const std::string& value, serve_settings& out) {
    double seconds = 0.0;
    auto wrong = read_number(value, 0.1, 3600.0, "seconds from 0.1 to 3600", seconds);
    out.limit_bound.window = std::chrono::milliseconds{std::llround(seconds * 1000.0)};
    return wrong;
}

std::optional<std::string> read_limit_overage(const std::string& value, serve_settings& out) {
    return read_number(value, 0.0, 10.0, "a part from 0 to 10", out.limit_bound.overage);
}

std::optional<std::string> read_limit_slack(const std::string& value, serve_settings& out) {
    return read_number(value, 0.0, 1e6, "operations from 0 to 1000000", out.limit_bound.slack);
}

std::optional<std::string> read_first_start(const std::string& value, serve_settings& out) {
    if (value != "true" && value != "false") {
        return "must be true or false, not '" + value + "'";
    }
    out.first_start = value == "true";
    return std::nullopt;
}

std::optional<std::string> read_seeds(const std::string& value, serve_settings& out) {
    out.seeds.clear();
    for (const auto& item : config::split_list(value)) {
        if (!parse_endpoint(item, out.seeds.emplace_back())) {
            return "must be IP:PORT separated by commas, not '" + item + "'";
        }
    }
    return std::nullopt;
}

const std::map<std::string, reader, std::less<>>& readers() {
    static const std::map<std::string, reader, std::less<>> all{
        {"name", text(&serve_settings::name)},
        {"data_center", text(&serve_settings::data_center)},
        {"callers", address(&serve_settings::callers)},
        {"readiness", address(&serve_settings::readiness)},
        {"peers", address(&serve_settings::peers)},
        {"heartbeats", address(&serve_settings::heartbeats)},
        {"seeds", read_seeds},
        {"store", address(&serve_settings::store)},
        {"orders", address(&serve_settings::orders)},
        {"grace_s", read_grace},
        {"first_start", read_first_start},
        {"revocation_ms", read_revocation},
        {"limits", read_limits},
        {"limit_window_s", read_limit_window},
        {"limit_overage", read_limit_overage},
        {"limit_slack", read_limit_slack},
        {"log_level", text(&serve_settings::log_level)},
        {"metrics", address(&serve_settings::metrics)},
    };
    return all;
}

const std::set<std::string, std::less<>> optional_keys{"seeds",     "grace_s",        "first_start",   "revocation_ms",
                                                       "limits",    "limit_window_s", "limit_overage", "limit_slack",
                                                       "log_level", "metrics"};

} // namespace

std::vector<ini::finding> read_serve_settings(std::string_view text, std::string_view file, serve_settings& out) {
    ini::document document;
    ini::read_text(text, file, document);
    auto findings = document.findings;
    std::map<std::string, ini::origin, std::less<>> seen;
    for (const auto& item : document.entries) {
        const auto found = readers().find(item.key);
        if (item.section != "serve" || found == readers().end()) {
            findings.push_back({item.where, "unknown setting [" + item.section + "] " + item.key});
            continue;
        }
        if (!seen.emplace(item.key, item.where).second) {
            findings.push_back({item.where, item.key + " is set twice"});
        }
        if (auto wrong = found->second(item.value, out)) {
            findings.push_back({item.where, item.key + " " + *wrong});
        }
    }
    for (const auto& [key, unused] : readers()) {
        if (!seen.contains(key) && !optional_keys.contains(key)) {
            findings.push_back({{std::string{file}, 0}, key + " is missing"});
        }
    }
    return findings;
}

std::string fill_placeholders(std::string_view text) {
    std::string out;
    while (!text.empty()) {
        const auto open = text.find("{{");
        out += text.substr(0, open);
        if (open == std::string_view::npos) {
            break;
        }
        const auto close = text.find("}}", open);
        if (close == std::string_view::npos) {
            out += text.substr(open);
            break;
        }
        // Marks of a section stand for nothing: what is between them is kept.
        const auto tag = text.substr(open + 2, close - open - 2);
        if (tag.starts_with('#') || tag.starts_with('/') || tag.starts_with('^')) {
            text = text.substr(close + 2);
            continue;
        }
        const bool before_port = text.substr(close + 2).starts_with(":");
        const bool port = out.ends_with(":");
        const auto key = std::string_view{out}.substr(out.rfind('\n') + 1);
        const bool word = key.starts_with("name") || key.starts_with("data_center");
        const bool number = key.starts_with("grace_s") || port;
        const bool span = key.starts_with("revocation_ms");
        const bool part = key.starts_with("limit_");
        const bool flag = key.starts_with("first_start");
        out += span             ? "5000"
               : number || part ? "7"
               : before_port    ? "10.0.0.1"
               : word           ? "word"
               : flag           ? "true"
                                : "10.0.0.1:7000";
        text = text.substr(close + 2);
    }
    return out;
}

} // namespace cornellever::session
