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

/// Parses a value into the settings. Returns a description of the problem if the value is invalid.
using setting_parser = std::function<std::optional<std::string>(const std::string&, serve_settings&)>;

setting_parser text_parser(std::string serve_settings::*member) {
    return [member](const std::string& value, serve_settings& out) -> std::optional<std::string> {
        if (value.empty()) {
            return "must not be empty";
        }
        out.*member = value;
        return std::nullopt;
    };
}

setting_parser endpoint_parser(tcp::endpoint serve_settings::*member) {
    return [member](const std::string& value, serve_settings& out) -> std::optional<std::string> {
        if (!parse_endpoint(value, out.*member)) {
            return "must be IP:PORT, not '" + value + "'";
        }
        return std::nullopt;
    };
}

std::optional<std::string> read_grace(const std::string& value, serve_settings& out) {
    constexpr int max_s = 3600;
    int seconds = 0;
    const auto* const end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, seconds);
    if (parsed.ec != std::errc{} || parsed.ptr != end || seconds < 1 || seconds > max_s) {
        return "must be whole seconds from 1 to 3600, not '" + value + "'";
    }
    out.grace = std::chrono::seconds{seconds};
    return std::nullopt;
}

/// Parses the time after which all proxies must refuse a revoked key. An empty value means that there is no such time.
std::optional<std::string> read_revocation(const std::string& value, serve_settings& out) {
    constexpr long min_ms = 1000;
    constexpr long max_ms = 3'600'000;
    out.revocation.reset();
    if (value.empty()) {
        return std::nullopt;
    }
    long ms = 0;
    const auto* const end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, ms);
    if (parsed.ec != std::errc{} || parsed.ptr != end || ms < min_ms || ms > max_ms) {
        return "must be whole milliseconds from 1000 to 3600000, or empty, not '" + value + "'";
    }
    out.revocation = std::chrono::milliseconds{ms};
    return std::nullopt;
}

std::optional<std::string> read_limits(const std::string& value, serve_settings& out) {
    tcp::endpoint endpoint;
    if (!parse_endpoint(value, endpoint)) {
        return "must be IP:PORT, not '" + value + "'";
    }
    out.limits = {endpoint.address(), endpoint.port()};
    return std::nullopt;
}

/// Parses a number from `minimum` to `maximum`; `requirement` describes the
/// range and unit in the finding.
std::optional<std::string> read_number(const std::string& value, double minimum, double maximum,
                                       std::string_view requirement, double& out) {
    const auto* const end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, out);
    if (parsed.ec != std::errc{} || parsed.ptr != end || out < minimum || out > maximum) {
        return "must be " + std::string{requirement} + ", not '" + value + "'";
    }
    return std::nullopt;
}

std::optional<std::string> read_limit_window(const std::string& value, serve_settings& out) {
    double seconds = 0.0;
    auto problem = read_number(value, 0.1, 3600.0, "seconds from 0.1 to 3600", seconds);
    out.limit_bound.window = std::chrono::milliseconds{std::llround(seconds * 1000.0)};
    return problem;
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

std::optional<std::string> read_handover(const std::string& value, serve_settings& out) {
    if (value != "auto" && value != "off") {
        return "must be auto or off, not '" + value + "'";
    }
    out.planned_handover = value == "auto";
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

const std::map<std::string, setting_parser, std::less<>>& setting_parsers() {
    static const std::map<std::string, setting_parser, std::less<>> all{
        {"name", text_parser(&serve_settings::name)},
        {"data_center", text_parser(&serve_settings::data_center)},
        {"callers", endpoint_parser(&serve_settings::callers)},
        {"readiness", endpoint_parser(&serve_settings::readiness)},
        {"peers", endpoint_parser(&serve_settings::peers)},
        {"heartbeats", endpoint_parser(&serve_settings::heartbeats)},
        {"seeds", read_seeds},
        {"store", endpoint_parser(&serve_settings::store)},
        {"orders", endpoint_parser(&serve_settings::orders)},
        {"grace_s", read_grace},
        {"first_start", read_first_start},
        {"revocation_ms", read_revocation},
        {"limits", read_limits},
        {"limit_window_s", read_limit_window},
        {"limit_overage", read_limit_overage},
        {"limit_slack", read_limit_slack},
        {"handover", read_handover},
        {"log_level", text_parser(&serve_settings::log_level)},
        {"metrics", endpoint_parser(&serve_settings::metrics)},
    };
    return all;
}

const std::set<std::string, std::less<>> optional_keys{"seeds",     "grace_s",        "first_start",   "revocation_ms",
                                                       "limits",    "limit_window_s", "limit_overage", "limit_slack",
                                                       "log_level", "metrics",        "handover"};

} // namespace

std::vector<ini::finding> read_serve_settings(std::string_view text, std::string_view file, serve_settings& out) {
    ini::document document;
    ini::read_text(text, file, document);
    auto findings = document.findings;
    std::map<std::string, ini::origin, std::less<>> seen;
    for (const auto& item : document.entries) {
        const auto found = setting_parsers().find(item.key);
        if (item.section != "serve" || found == setting_parsers().end()) {
            findings.push_back({item.where, "unknown setting [" + item.section + "] " + item.key});
            continue;
        }
        if (!seen.emplace(item.key, item.where).second) {
            findings.push_back({item.where, item.key + " is set twice"});
        }
        if (auto problem = found->second(item.value, out)) {
            findings.push_back({item.where, item.key + " " + *problem});
        }
    }
    for (const auto& [key, unused] : setting_parsers()) {
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
        // Section tags (`{{#name}}`, `{{^name}}`, `{{/name}}`) are dropped; the text between them is kept.
        const auto tag = text.substr(open + 2, close - open - 2);
        if (tag.starts_with('#') || tag.starts_with('/') || tag.starts_with('^')) {
            text = text.substr(close + 2);
            continue;
        }
        const bool is_host = text.substr(close + 2).starts_with(":");
        const bool is_port = out.ends_with(":");
        const auto key = std::string_view{out}.substr(out.rfind('\n') + 1);
        const bool is_name = key.starts_with("name") || key.starts_with("data_center");
        const bool is_number = key.starts_with("grace_s") || is_port;
        const bool is_duration = key.starts_with("revocation_ms");
        const bool is_limit = key.starts_with("limit_");
        const bool is_flag = key.starts_with("first_start");
        out += is_duration             ? "5000"
               : is_number || is_limit ? "7"
               : is_host               ? "10.0.0.1"
               : is_name               ? "word"
               : is_flag               ? "true"
                                       : "10.0.0.1:7000";
        text = text.substr(close + 2);
    }
    return out;
}

} // namespace cornellever::session
