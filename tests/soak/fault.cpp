#include "fault.hpp"

#include <charconv>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace cornellever::soak {

namespace {

std::optional<std::uint64_t> parse_number(std::string_view text) {
    std::uint64_t out = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, out);
    return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional{out} : std::nullopt;
}

std::vector<std::string> split(const std::string& line, char separator) {
    std::vector<std::string> out;
    std::istringstream in{line};
    for (std::string field; std::getline(in, field, separator);) {
        out.push_back(std::move(field));
    }
    return out;
}

std::optional<fault_record> parse_line(const std::string& line) {
    constexpr std::size_t field_count = 4;
    auto fields = split(line, '\t');
    fields.resize(std::max(fields.size(), field_count));
    const auto at = parse_number(fields[0]);
    if (!at || fields[1].empty() || fields.size() > field_count) {
        return std::nullopt;
    }
    fault_record out{std::chrono::milliseconds{*at}, fields[1], {fields[2], {}}};
    for (const auto& word : split(fields[3], ' ')) {
        const auto value = parse_number(word);
        if (!value) {
            return std::nullopt;
        }
        out.arguments.values.push_back(*value);
    }
    return out;
}

} // namespace

std::string to_line(const fault_record& record) {
    auto out = std::to_string(record.at.count()) + '\t' + record.kind + '\t' + record.arguments.target + '\t';
    for (const auto value : record.arguments.values) {
        out += (out.back() == '\t' ? "" : " ") + std::to_string(value);
    }
    return out;
}

std::vector<fault_record> read_faults(const std::filesystem::path& file) {
    std::ifstream in{file};
    if (!in) {
        throw std::runtime_error{"cannot read fault file " + file.string()};
    }
    std::vector<fault_record> out;
    std::size_t number = 0;
    for (std::string line; std::getline(in, line);) {
        ++number;
        if (line.empty() || line.starts_with('#')) {
            continue;
        }
        auto record = parse_line(line);
        if (!record) {
            throw std::runtime_error{file.string() + ":" + std::to_string(number) + ": malformed fault '" + line + "'"};
        }
        out.push_back(std::move(*record));
    }
    return out;
}

} // namespace cornellever::soak
