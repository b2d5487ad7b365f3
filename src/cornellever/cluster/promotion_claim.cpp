#include "cornellever/cluster/promotion_claim.hpp"

#include <sstream>

namespace cornellever::cluster {

namespace {

/// Written in place of an empty field.
constexpr std::string_view empty_field = "-";

std::string_view field_of(const std::string& text) {
    return text.empty() ? empty_field : std::string_view{text};
}

} // namespace

std::string encode(const promotion_claim& claim) {
    std::ostringstream out;
    out << claim.holder << ' ' << field_of(claim.replaces) << ' ' << field_of(claim.successor) << ' ' << claim.number
        << ' ' << claim.at.count();
    return std::move(out).str();
}

std::optional<promotion_claim> decode_claim(std::string_view text) {
    std::istringstream in{std::string{text}};
    promotion_claim out;
    long long at_ms = 0;
    if (!(in >> out.holder >> out.replaces >> out.successor >> out.number >> at_ms)) {
        return std::nullopt;
    }
    if (out.replaces == empty_field) {
        out.replaces.clear();
    }
    out.at = std::chrono::milliseconds{at_ms};
    return out;
}

} // namespace cornellever::cluster
