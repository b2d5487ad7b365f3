#include "cornellever/cluster/peer_message.hpp"

#include <array>
#include <charconv>
#include <concepts>
#include <limits>

namespace cornellever::cluster {

namespace {

/// First word of every message; another version gets another word.
constexpr std::string_view magic = "cl4";

/// Stands before the list of other proxies; no service has this name.
constexpr std::string_view others_mark = "/";

/// Stands in place of the reports where the message has none.
constexpr std::string_view no_reports = "~";

/// Stands for an age that the sender does not know.
constexpr std::string_view no_age = "-";

/// Flags of a report: the furthest position follows, or is that of the sample.
constexpr char furthest_given = 'f';
constexpr char furthest_as_sample = 'e';

char letter_of(peer_message::kind what) {
    switch (what) {
    case peer_message::kind::question:
        return 'q';
    case peer_message::kind::answer:
        return 'a';
    case peer_message::kind::greeting:
        return 'g';
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
    if (letter == "g") {
        return peer_message::kind::greeting;
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

    /// An age, or the word for none.
    std::optional<std::chrono::milliseconds> optional_age() {
        if (next() != no_age) {
            return age();
        }
        (void)word();
        return std::nullopt;
    }

    [[nodiscard]] bool done() const noexcept { return m_rest.empty(); }
    [[nodiscard]] bool good() const noexcept { return m_good; }

private:
    std::string_view m_rest;
    bool m_good{true};
};

sql::log_position read_position(word_reader& words) {
    sql::log_position out;
    out.term = words.number();
    out.number = words.number();
    return out;
}

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
    out.log_lost = flags.find('l') != std::string_view::npos;
    if (flags.find('s') != std::string_view::npos) {
        aged_sample sample;
        sample.age = words.age();
        sample.position = read_position(words);
        out.sample = sample;
    }
    if (flags.find(furthest_given) != std::string_view::npos) {
        out.highest_position = read_position(words);
    } else if (out.sample && flags.find(furthest_as_sample) != std::string_view::npos) {
        out.highest_position = out.sample->position;
    }
    return out;
}

/// Appends words to a datagram.
class word_writer {
public:
    explicit word_writer(std::string_view first) : m_text{first} {}

    void word(std::string_view text) {
        m_text += ' ';
        m_text += text;
    }

    void number(std::integral auto value) {
        std::array<char, std::numeric_limits<decltype(value)>::digits10 + 2> digits{};
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr;
        word({digits.data(), end});
    }

    [[nodiscard]] std::string text() && { return std::move(m_text); }

private:
    std::string m_text;
};

void write_age(word_writer& out, const std::optional<std::chrono::milliseconds>& age) {
    if (age) {
        out.number(age->count());
    } else {
        out.word(no_age);
    }
}

void write_position(word_writer& out, const sql::log_position& at) {
    out.number(at.term);
    out.number(at.number);
}

void write_report(word_writer& out, const primary_report& item) {
    out.word(item.service);
    out.word(item.primary.empty() ? "-" : item.primary);
    out.number(item.confirmed_age.count());
    out.number(item.heard_age.count());
    const bool as_sample = item.highest_position && item.sample && item.sample->position == *item.highest_position;
    std::string flags{"."};
    flags += item.unreachable ? "u" : "";
    flags += item.refused ? "r" : "";
    flags += item.log_lost ? "l" : "";
    flags += item.sample ? "s" : "";
    if (item.highest_position) {
        flags += as_sample ? furthest_as_sample : furthest_given;
    }
    out.word(flags);
    if (item.sample) {
        out.number(item.sample->age.count());
        write_position(out, item.sample->position);
    }
    if (item.highest_position && !as_sample) {
        write_position(out, *item.highest_position);
    }
}

} // namespace

std::string encode(const peer_message& message) {
    const char letter = letter_of(message.what);
    word_writer out{magic};
    out.word(std::string_view{&letter, 1});
    out.number(message.nonce);
    out.number(message.cluster);
    out.word(message.sender);
    out.word(message.data_center);
    out.number(message.incarnation);
    out.number(message.config_version);
    out.number(message.registry_version);
    write_age(out, message.config_age);
    write_age(out, message.registry_age);
    out.number(message.store_reachable ? 1 : 0);
    if (!message.reports) {
        out.word(no_reports);
    }
    for (const auto& item : message.primaries) {
        write_report(out, item);
    }
    if (!message.heard.empty()) {
        out.word(others_mark);
    }
    for (const auto& item : message.heard) {
        out.word(item.name);
        out.number(item.age.count());
    }
    return std::move(out).text();
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
    out.config_age = words.optional_age();
    out.registry_age = words.optional_age();
    out.store_reachable = words.number() != 0;
    if (words.good() && words.next() == no_reports) {
        out.reports = false;
        (void)words.word();
    }
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
