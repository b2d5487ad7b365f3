#include "field_texts.hpp"

#include <algorithm>
#include <string_view>

namespace cornellever::soak {

std::string field_texts::draw(std::size_t min_bytes, bool with_blanks) {
    constexpr std::uint64_t usual_max_bytes = 24;
    constexpr std::uint64_t long_texts = 1000;
    constexpr std::string_view frequent{"\n\r \0=\\", 6};
    const auto limit = one_in(long_texts) ? max_bytes : usual_max_bytes;
    std::string out(std::max(min_bytes, m_random() % (limit + 1)), 'x');
    for (auto& item : out) {
        const auto drawn = m_random();
        item = drawn % 3 == 0 ? frequent[drawn / 3 % frequent.size()] : static_cast<char>(drawn / 3 % 256);
        if (item == ' ' && !with_blanks) {
            item = '-';
        }
    }
    for (auto at = out.find("\r\n"); at != std::string::npos; at = out.find("\r\n")) {
        out[at] = '\n';
    }
    return out;
}

} // namespace cornellever::soak
