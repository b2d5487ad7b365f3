#include "cornellever/cluster/peer_message.hpp"

#include <charconv>
#include <sstream>

namespace cornellever::cluster {

namespace {

/// First word of every message; another version gets another word.
constexpr std::string_view magic = "cl2";

/// Stands before the list of other proxies; no service has this name.
constexpr std::string_view others_mark = "/";

char letter_of(peer_message::kind what) {
    switch (what) {
    case peer_message::kind::question:
        return 'q';
    case peer_message::kind::answer:
        return 'a';
    case peer_message::kind::farewell:
        return 'f';
    }
    return 'q';
}

std::optional<peer_message::kind> kind_of(std::string_view letter) {
    if (letter == "q") {
        return peer_message::kind::question;
    }
    if (letter == "a") {
        return peer_message::kind::answer;
    }
    if (letter == "f") {
        return peer_message::kind::farewell;
    }
    return std::nullopt;
}

/// Words of a datagram, each read once; `good` turns false at the first that
/// is missing or not what it should be.
class word_reader {
public:
    explicit word_reader(std::string_view rest) : m_rest{rest} {}

    std::string_view word() {
        const auto blank = m_rest.find(' ');
        const auto out = m_rest.substr(0, blank);
        m_rest = blank == std::string_view::npos ? std::string_view{} : m_rest.substr(blank + 1);
        m_good = m_good && !out.empty();
        return out;
    }

    /// The next word, left unread.
    [[nodiscard]] std::string_view next() const { return m_rest.substr(0, m_rest.find(' ')); }

    std::uint64_t number() {
        const auto text = word();
        std::uint64_t out = 0;
        const auto* const end = text.data() + text.size();
        const auto got = std::from_chars(text.data(), end, out);
        m_good = m_good && got.ec == std::errc{} && got.ptr == end;
        return out;
    }

    std::chrono::milliseconds age() {
        constexpr std::uint64_t longest_ms = std::uint64_t{1} << 40;
        const auto ms = number();
        m_good = m_good && ms < longest_ms;
        return std::chrono::milliseconds{static_cast<long long>(m_good ? ms : 0)};
    }

    [[nodiscard]] bool done() const noexcept { return m_rest.empty(); }
    [[nodiscard]] bool good() const noexcept { return m_good; }

private:
    std::string_view m_rest;
    bool m_good{true};
};

primary_report read_report(word_reader& words) {
    primary_report out;
    out.service = words.word();
    out.primary = words.word();
    if (out.primary == "-") {
        out.primary.clear();
    }
    out.confirmed_age = words.age();
    out.heard_age = words.age();
    const auto flags = words.word();
    out.unreachable = flags.find('u') != std::string_view::npos;
    out.refused = flags.find('r') != std::string_view::npos;
    if (flags.find('s') != std::string_view::npos) {
        aged_sample sample;
        sample.age = words.age();
        sample.position.term = words.number();
        sample.position.number = words.number();
        out.sample = sample;
    }
    return out;
}

void write_report(std::ostringstream& out, const primary_report& item) {
    out << ' ' << item.service << ' ' << (item.primary.empty() ? "-" : item.primary) << ' '
        << item.confirmed_age.count() << ' ' << item.heard_age.count() << " ." << (item.unreachable ? "u" : "")
        << (item.refused ? "r" : "") << (item.sample ? "s" : "");
    if (item.sample) {
        out << ' ' << item.sample->age.count() << ' ' << item.sample->position.term << ' '
            << item.sample->position.number;
    }
}

} // namespace

std::string encode(const peer_message& message) {
    std::ostringstream out;
    out << magic << ' ' << letter_of(message.what) << ' ' << message.nonce << ' ' << message.cluster << ' '
        << message.sender << ' ' << message.data_center << ' ' << message.incarnation << ' ' << message.config_version
        << ' ' << message.registry_version << ' ' << (message.store_reachable ? 1 : 0);
    for (const auto& item : message.primaries) {
        write_report(out, item);
    }
    if (!message.heard.empty()) {
        out << ' ' << others_mark;
    }
    for (const auto& item : message.heard) {
        out << ' ' << item.name << ' ' << item.age.count();
    }
    return std::move(out).str();
}

std::optional<peer_message> decode(std::string_view bytes) {
    word_reader words{bytes};
    if (words.word() != magic) {
        return std::nullopt;
    }
    const auto what = kind_of(words.word());
    if (!what) {
        return std::nullopt;
    }
    peer_message out;
    out.what = *what;
    out.nonce = words.number();
    out.cluster = words.number();
    out.sender = words.word();
    out.data_center = words.word();
    out.incarnation = words.number();
    out.config_version = words.number();
    out.registry_version = words.number();
    out.store_reachable = words.number() != 0;
    while (words.good() && !words.done() && words.next() != others_mark) {
        out.primaries.push_back(read_report(words));
    }
    if (words.good() && !words.done()) {
        (void)words.word();
        do {
            const auto name = words.word();
            out.heard.push_back({std::string{name}, words.age()});
        } while (words.good() && !words.done());
    }
    if (!words.good()) {
        return std::nullopt;
    }
    return out;
}

} // namespace cornellever::cluster
