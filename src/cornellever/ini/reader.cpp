#include "cornellever/ini/reader.hpp"

#include <algorithm>
#include <cstring>
#include <fstream>
#include <sstream>
#include <vector>

#include <ini.h>

namespace cornellever::ini {

namespace {

/// The longest line that fits the buffer of inih, the INI parser library: INI_MAX_LINE (200) minus the line terminator
/// and the terminating null character.
constexpr std::size_t max_line_bytes = 198;

/// The input that `feed_line` passes to inih line by line: first `header`, unless it is empty, and then `lines` from
/// index `next` on. When parsing is restarted after a syntax error, `header` is the header of the section that contains
/// the remaining lines.
struct line_feed {
    const std::vector<std::string>* lines{nullptr};
    std::size_t next{0};
    std::string header;
    bool header_sent{false};
    std::size_t current{0};
};

struct parse_state {
    line_feed feed;
    std::string_view file;
    document* into{nullptr};
    std::string last_section;
};

char* feed_line(char* buffer, int size, void* stream) {
    auto& feed = *static_cast<line_feed*>(stream);
    const std::string* text = nullptr;
    if (!feed.header_sent && !feed.header.empty()) {
        feed.header_sent = true;
        text = &feed.header;
    } else if (feed.next < feed.lines->size()) {
        feed.current = feed.next;
        text = &(*feed.lines)[feed.next++];
    } else {
        return nullptr;
    }
    const auto count = std::min<std::size_t>(text->size(), static_cast<std::size_t>(size) - 2);
    std::memcpy(buffer, text->data(), count);
    buffer[count] = '\n';
    buffer[count + 1] = '\0';
    return buffer;
}

int on_entry(void* user, const char* section, const char* key, const char* value) {
    auto& state = *static_cast<parse_state*>(user);
    const origin where{std::string{state.file}, static_cast<int>(state.feed.current) + 1};
    state.last_section = section;
    state.into->entries.push_back(entry{section, key, value, where});
    return 1;
}

std::string section_header_of(std::string_view line) {
    const auto first = line.find_first_not_of(" \t");
    if (first == std::string_view::npos || line[first] != '[') {
        return {};
    }
    const auto close = line.find(']', first);
    if (close == std::string_view::npos) {
        return {};
    }
    auto name = std::string{line.substr(first + 1, close - first - 1)};
    // inih cuts a line at an inline comment, so a header with a comment before the closing bracket is not a header for
    // inih.
    const bool has_comment = name.find(" ;") != std::string::npos || name.find("\t;") != std::string::npos;
    return has_comment ? std::string{} : name;
}

/// Returns the reason why inih can't parse a line without altering it; empty if inih can parse the line.
std::string_view unreadable_reason(std::string_view line) {
    if (line.size() > max_line_bytes) {
        return "the line is too long";
    }
    const auto is_control = [](char c) { return static_cast<unsigned char>(c) < ' ' && c != '\t' && c != '\r'; };
    return std::ranges::any_of(line, is_control) ? "the line holds a control character" : "";
}

/// Reports and blanks the lines that inih would truncate or misread.
void blank_unreadable_lines(std::vector<std::string>& lines, std::string_view file, document& into) {
    for (std::size_t index = 0; index < lines.size(); ++index) {
        const auto reason = unreadable_reason(lines[index]);
        if (!reason.empty()) {
            into.findings.push_back(
                finding{origin{std::string{file}, static_cast<int>(index) + 1}, std::string{reason}});
            lines[index].clear();
        }
    }
}

void record_sections(const std::vector<std::string>& lines, std::string_view file, document& into) {
    for (std::size_t index = 0; index < lines.size(); ++index) {
        auto name = section_header_of(lines[index]);
        if (!name.empty()) {
            into.sections.push_back(entry{name, {}, {}, origin{std::string{file}, static_cast<int>(index) + 1}});
        }
    }
}

std::string section_before(const std::vector<std::string>& lines, std::size_t before, std::string fallback) {
    for (std::size_t index = before; index-- > 0;) {
        auto name = section_header_of(lines[index]);
        if (!name.empty()) {
            return name;
        }
    }
    return fallback;
}

void append_entries_before(const document& pass, std::size_t line_index, document& into) {
    for (const auto& item : pass.entries) {
        if (static_cast<std::size_t>(item.where.line) <= line_index) {
            into.entries.push_back(item);
        }
    }
}

std::vector<std::string> split_lines(std::string_view text) {
    std::vector<std::string> lines;
    std::istringstream stream{std::string{text}};
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(std::move(line));
    }
    return lines;
}

} // namespace

std::string to_string(const finding& item) {
    return item.where.file + ":" + std::to_string(item.where.line) + ": " + item.message;
}

void read_text(std::string_view text, std::string_view file, document& into) {
    auto lines = split_lines(text);
    blank_unreadable_lines(lines, file, into);
    record_sections(lines, file, into);
    std::size_t start = 0;
    std::string section;
    while (start < lines.size()) {
        document pass;
        parse_state state{line_feed{&lines, start, section.empty() ? "" : "[" + section + "]", false, start}, file,
                          &pass, section};
        const int failed_at = ini_parse_stream(feed_line, &state.feed, on_entry, &state);
        if (failed_at <= 0) {
            append_entries_before(pass, lines.size(), into);
            return;
        }
        // inih counts the synthetic header as the first line.
        const std::size_t first_line = section.empty() ? 1 : 2;
        if (static_cast<std::size_t>(failed_at) < first_line) {
            // inih rejected the synthetic header itself: retry without it.
            section.clear();
            continue;
        }
        const auto offset = static_cast<std::size_t>(failed_at) - first_line;
        const auto bad = start + offset;
        // inih continues after a syntax error, but the next pass parses the lines after the error again. Only the
        // entries before the error are taken from this pass.
        append_entries_before(pass, bad, into);
        if (bad >= lines.size()) {
            return;
        }
        into.findings.push_back(finding{origin{std::string{file}, static_cast<int>(bad) + 1},
                                        "not a section header or key = value line: '" + lines[bad] + "'"});
        section = section_before(lines, bad, section);
        start = bad + 1;
    }
}

document read_folder(const std::filesystem::path& folder) {
    document result;
    std::error_code ec;
    if (!std::filesystem::is_directory(folder, ec)) {
        result.findings.push_back(finding{origin{folder.string(), 0}, "not a folder"});
        return result;
    }
    std::vector<std::filesystem::path> files;
    for (const auto& item : std::filesystem::directory_iterator{folder, ec}) {
        if (item.is_regular_file() && item.path().extension() == ".ini") {
            files.push_back(item.path());
        }
    }
    std::sort(files.begin(), files.end(),
              [](const auto& left, const auto& right) { return left.filename() < right.filename(); });
    if (files.empty()) {
        result.findings.push_back(finding{origin{folder.string(), 0}, "no .ini files in this folder"});
    }
    for (const auto& path : files) {
        std::ifstream in{path};
        if (!in) {
            result.findings.push_back(finding{origin{path.filename().string(), 0}, "cannot be read"});
            continue;
        }
        std::ostringstream text;
        text << in.rdbuf();
        read_text(text.str(), path.filename().string(), result);
    }
    return result;
}

} // namespace cornellever::ini
