#include "cornellever/ctl/log_line.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace cornellever::ctl {

namespace {

constexpr std::string_view event_mark = " CL";

bool is_name(std::string_view text) {
    return !text.empty() && std::ranges::all_of(text, [](unsigned char letter) {
        return std::isalnum(letter) != 0 || letter == '_' || letter == '.';
    });
}

/// Where the next ` name=` begins; the size of `text` when there is none.
std::size_t next_field(std::string_view text) {
    for (auto equals = text.find('='); equals != std::string_view::npos; equals = text.find('=', equals + 1)) {
        const auto blank = text.substr(0, equals).rfind(' ');
        if (blank != std::string_view::npos && is_name(text.substr(blank + 1, equals - blank - 1))) {
            return blank;
        }
    }
    return text.size();
}

std::string_view cut_word(std::string_view& rest) {
    const auto blank = rest.find(' ');
    const auto word = rest.substr(0, blank);
    rest = blank == std::string_view::npos ? std::string_view{} : rest.substr(blank + 1);
    return word;
}

std::string_view cut_value(std::string_view& rest) {
    if (rest.starts_with('"')) {
        const auto end = rest.find('"', 1);
        const auto value = rest.substr(1, end == std::string_view::npos ? end : end - 1);
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
        return value;
    }
    const auto end = next_field(rest);
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

std::string_view time_of(std::string_view line) {
    constexpr std::size_t time_size = 23;
    for (auto at = line.find('T'); at != std::string_view::npos; at = line.find('T', at + 1)) {
        constexpr std::size_t date_size = 10;
        if (at >= date_size && at + 13 <= line.size() && line[at - 3] == '-' && line[at + 3] == ':') {
            return line.substr(at - date_size, time_size);
        }
    }
    return {};
}

std::optional<log_line> parse_log_line(std::string_view line) {
    constexpr std::size_t number_size = 4;
    const auto mark = line.find(event_mark);
    if (mark == std::string_view::npos) {
        return std::nullopt;
    }
    auto rest = line.substr(mark + event_mark.size());
    const auto number = cut_word(rest);
    if (number.size() != number_size || rest.empty()) {
        return std::nullopt;
    }
    log_line out{.time = time_of(line.substr(0, mark)), .event = cut_word(rest), .fields = {}};
    while (!rest.empty()) {
        const auto equals = rest.find('=');
        if (equals == std::string_view::npos) {
            break;
        }
        auto name = rest.substr(0, equals);
        name.remove_prefix(std::min(name.find_first_not_of(' '), name.size()));
        rest.remove_prefix(equals + 1);
        out.fields.emplace(name, cut_value(rest));
    }
    return out;
}

} // namespace cornellever::ctl
