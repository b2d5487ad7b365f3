#include "cornellever/ctl/log_line.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace cornellever::ctl {

namespace {

constexpr std::string_view event_prefix = " CL";

bool is_field_name(std::string_view text) {
    return !text.empty() && std::ranges::all_of(text, [](unsigned char letter) {
        return std::isalnum(letter) != 0 || letter == '_' || letter == '.';
    });
}

/// Returns the position of the next ` name=`, or the size of `text` if there is
/// no such field.
std::size_t next_field_start(std::string_view text) {
    for (auto equals = text.find('='); equals != std::string_view::npos; equals = text.find('=', equals + 1)) {
        const auto space = text.substr(0, equals).rfind(' ');
        if (space != std::string_view::npos && is_field_name(text.substr(space + 1, equals - space - 1))) {
            return space;
        }
    }
    return text.size();
}

std::string_view consume_word(std::string_view& rest) {
    const auto space = rest.find(' ');
    const auto word = rest.substr(0, space);
    rest = space == std::string_view::npos ? std::string_view{} : rest.substr(space + 1);
    return word;
}

std::string_view consume_value(std::string_view& rest) {
    if (rest.starts_with('"')) {
        const auto end = rest.find('"', 1);
        const auto value = rest.substr(1, end == std::string_view::npos ? end : end - 1);
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
        return value;
    }
    const auto end = next_field_start(rest);
    const auto value = rest.substr(0, end);
    rest = rest.substr(end);
    return value;
}

} // namespace

std::string_view log_line::field(std::string_view name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? std::string_view{} : found->second;
}

long long log_line::milliseconds(std::string_view name) const {
    const auto text = field(name);
    long long out = 0;
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

std::string_view timestamp_of(std::string_view line) {
    constexpr std::size_t timestamp_length = 23;
    for (auto at = line.find('T'); at != std::string_view::npos; at = line.find('T', at + 1)) {
        constexpr std::size_t date_length = 10;
        if (at >= date_length && at + 13 <= line.size() && line[at - 3] == '-' && line[at + 3] == ':') {
            return line.substr(at - date_length, timestamp_length);
        }
    }
    return {};
}

std::optional<log_line> parse_log_line(std::string_view line) {
    constexpr std::size_t event_number_length = 4;
    const auto prefix_at = line.find(event_prefix);
    if (prefix_at == std::string_view::npos) {
        return std::nullopt;
    }
    auto rest = line.substr(prefix_at + event_prefix.size());
    const auto number = consume_word(rest);
    if (number.size() != event_number_length || rest.empty()) {
        return std::nullopt;
    }
    log_line out{.timestamp = timestamp_of(line.substr(0, prefix_at)), .event = consume_word(rest), .fields = {}};
    while (!rest.empty()) {
        const auto equals = rest.find('=');
        if (equals == std::string_view::npos) {
            break;
        }
        auto name = rest.substr(0, equals);
        name.remove_prefix(std::min(name.find_first_not_of(' '), name.size()));
        rest.remove_prefix(equals + 1);
        out.fields.emplace(name, consume_value(rest));
    }
    return out;
}

} // namespace cornellever::ctl
