#include "cornellever/proxy/settings.hpp"

#include <array>
#include <utility>

#include "cornellever/config/parsing.hpp"
#include "cornellever/ini/reader.hpp"

namespace cornellever::proxy {

namespace {

constexpr std::array fields{
    std::pair{"name", &settings_text::name},     std::pair{"zone", &settings_text::zone},
    std::pair{"listen", &settings_text::listen}, std::pair{"platform", &settings_text::platform},
    std::pair{"peers", &settings_text::peers},
};

std::string* find_field(settings_text& text, const ini::entry& item) {
    for (const auto& [key, member] : fields) {
        if (item.section == "proxy" && item.key == key) {
            return &(text.*member);
        }
    }
    return nullptr;
}

ini::finding bad_address(const char* field, const std::string& text) {
    return {{"(settings)", 0}, std::string{field} + " must be IP:PORT, not '" + text + "'"};
}

} // namespace

std::vector<ini::finding> read_settings(const std::string& folder, settings_text& out) {
    const auto document = ini::read_folder(folder);
    auto findings = document.findings;
    for (const auto& item : document.entries) {
        if (auto* target = find_field(out, item); target != nullptr) {
            *target = item.value;
        } else {
            findings.push_back({item.where, "unknown setting [" + item.section + "] " + item.key +
                                                ": expected [proxy] name, zone, listen, platform or peers"});
        }
    }
    return findings;
}

std::vector<ini::finding> check_settings(const settings_text& text, settings& out) {
    std::vector<ini::finding> findings;
    out.name = text.name;
    out.zone = text.zone;
    if (!parse_endpoint(text.listen, out.listen)) {
        findings.push_back(bad_address("listen", text.listen));
    }
    if (!parse_endpoint(text.platform, out.platform)) {
        findings.push_back(bad_address("platform", text.platform));
    }
    for (const auto& item : config::split_list(text.peers)) {
        tcp::endpoint peer;
        if (parse_endpoint(item, peer)) {
            out.peers.push_back(peer);
        } else {
            findings.push_back(bad_address("peers", item));
        }
    }
    if (out.name.empty()) {
        out.name = "proxy-" + std::to_string(out.listen.port());
    }
    return findings;
}

} // namespace cornellever::proxy
