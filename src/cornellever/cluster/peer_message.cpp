#include "cornellever/cluster/peer_message.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <concepts>
#include <limits>
#include <string>

namespace cornellever::cluster {

namespace {

/// First field of every message; identifies the protocol version.
constexpr std::string_view magic = "cl4";

/// Precedes the list of live proxies in a message. No service has this name.
constexpr std::string_view alive_peers_mark = "/";

/// Written in place of the primary reports in a message that carries none.
constexpr std::string_view no_reports = "~";

/// Written in place of an age that the sender does not know.
constexpr std::string_view no_age = "-";

/// Flags of a primary report: the highest position follows as a field of its own, or it equals the
/// position of the sample.
constexpr char furthest_given = 'f';
constexpr char furthest_as_sample = 'e';

/// Flags of a primary report on the load, sent only while requests wait: the number of requests that
/// wait, how long a request that arrives now is expected to wait in ms, the shortest lag of the other
/// servers in ms, and whether that lag shrinks. The numbers are part of the flags field, in which proxies of earlier
/// versions look only for other letters.
constexpr char waiting_given = 'w';
constexpr char expected_wait_given = 'q';
constexpr char shortest_lag_given = 'b';
constexpr char lag_shrinks = 'g';

/// Flags of a primary report on the statements sent to the primary: all broke, or some did. Sent only
/// while statements break.
constexpr char all_break = 'x';
constexpr char some_break = 'o';

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

/// Reads the fields of a datagram in order. `good` becomes false at the first field that is missing
/// or malformed.
class field_reader {
public:
    explicit field_reader(std::string_view rest) : m_rest{rest} {}

    std::string_view field() {
        const auto blank = m_rest.find(' ');
        const auto out = m_rest.substr(0, blank);
        m_rest = blank == std::string_view::npos ? std::string_view{} : m_rest.substr(blank + 1);
        m_good = m_good && !out.empty();
        return out;
    }

    /// Returns the next field without consuming it.
    [[nodiscard]] std::string_view next() const { return m_rest.substr(0, m_rest.find(' ')); }

    std::uint64_t number() {
        const auto text = field();
        std::uint64_t out = 0;
        const auto* const end = text.data() + text.size();
        const auto got = std::from_chars(text.data(), end, out);
        m_good = m_good && got.ec == std::errc{} && got.ptr == end;
        return out;
    }

    std::chrono::milliseconds age() {
        constexpr std::uint64_t age_limit_ms = std::uint64_t{1} << 40;
        const auto ms = number();
        m_good = m_good && ms < age_limit_ms;
        return std::chrono::milliseconds{static_cast<long long>(m_good ? ms : 0)};
    }

    /// Reads an age; returns nullopt if the field is the mark for an unknown age.
    std::optional<std::chrono::milliseconds> optional_age() {
        if (next() != no_age) {
            return age();
        }
        (void)field();
        return std::nullopt;
    }

    [[nodiscard]] bool done() const noexcept { return m_rest.empty(); }
    [[nodiscard]] bool good() const noexcept { return m_good; }

private:
    std::string_view m_rest;
    bool m_good{true};
};

sql::log_position read_position(field_reader& fields) {
    sql::log_position out;
    out.term = fields.number();
    out.number = fields.number();
    return out;
}

/// Returns the number behind a letter of the flags field.
std::optional<std::uint64_t> number_behind(std::string_view flags, char letter) {
    const auto at = flags.find(letter);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const auto digits = flags.substr(at + 1);
    std::uint64_t out = 0;
    const auto got = std::from_chars(digits.data(), digits.data() + digits.size(), out);
    return got.ec == std::errc{} ? std::optional{out} : std::nullopt;
}

void read_load(std::string_view flags, primary_report& out) {
    constexpr std::uint64_t max_number = std::uint64_t{1} << 31;
    out.waiting = std::min(number_behind(flags, waiting_given).value_or(0), max_number);
    out.expected_wait = std::chrono::milliseconds{
        static_cast<long long>(std::min(number_behind(flags, expected_wait_given).value_or(0), max_number))};
    if (const auto lag = number_behind(flags, shortest_lag_given)) {
        out.shortest_lag = std::chrono::milliseconds{static_cast<long long>(std::min(*lag, max_number))};
    }
    out.catching_up = flags.find(lag_shrinks) != std::string_view::npos;
}

routing::statement_health read_statements(std::string_view flags) {
    if (flags.find(some_break) != std::string_view::npos) {
        return routing::statement_health::some_break;
    }
    return flags.find(all_break) != std::string_view::npos ? routing::statement_health::all_break
                                                           : routing::statement_health::unknown;
}

primary_report read_report(field_reader& fields) {
    primary_report out;
    out.service = fields.field();
    out.primary = fields.field();
    if (out.primary == "-") {
        out.primary.clear();
    }
    out.leadership_confirmed_age = fields.age();
    out.last_answer_age = fields.age();
    const auto flags = fields.field();
    out.unreachable = flags.find('u') != std::string_view::npos;
    out.refused = flags.find('r') != std::string_view::npos;
    out.log_lost = flags.find('l') != std::string_view::npos;
    read_load(flags, out);
    out.statements = read_statements(flags);
    if (flags.find('s') != std::string_view::npos) {
        aged_sample sample;
        sample.age = fields.age();
        sample.position = read_position(fields);
        out.sample = sample;
    }
    if (flags.find(furthest_given) != std::string_view::npos) {
        out.highest_position = read_position(fields);
    } else if (out.sample && flags.find(furthest_as_sample) != std::string_view::npos) {
        out.highest_position = out.sample->position;
    }
    return out;
}

/// Appends fields to a datagram.
class field_writer {
public:
    explicit field_writer(std::string_view first) : m_text{first} {}

    void field(std::string_view text) {
        m_text += ' ';
        m_text += text;
    }

    void number(std::integral auto value) {
        std::array<char, std::numeric_limits<decltype(value)>::digits10 + 2> digits{};
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr;
        field({digits.data(), end});
    }

    [[nodiscard]] std::string text() && { return std::move(m_text); }

private:
    std::string m_text;
};

void write_age(field_writer& out, const std::optional<std::chrono::milliseconds>& age) {
    if (age) {
        out.number(age->count());
    } else {
        out.field(no_age);
    }
}

void write_position(field_writer& out, const sql::log_position& at) {
    out.number(at.term);
    out.number(at.number);
}

void write_report(field_writer& out, const primary_report& item) {
    out.field(item.service);
    out.field(item.primary.empty() ? "-" : item.primary);
    out.number(item.leadership_confirmed_age.count());
    out.number(item.last_answer_age.count());
    const bool as_sample = item.highest_position && item.sample && item.sample->position == *item.highest_position;
    std::string flags{"."};
    flags += item.unreachable ? "u" : "";
    flags += item.refused ? "r" : "";
    flags += item.log_lost ? "l" : "";
    flags += item.sample ? "s" : "";
    if (item.highest_position) {
        flags += as_sample ? furthest_as_sample : furthest_given;
    }
    if (item.waiting > 0) {
        flags += waiting_given + std::to_string(item.waiting);
        flags += expected_wait_given + std::to_string(item.expected_wait.count());
        flags += item.shortest_lag ? shortest_lag_given + std::to_string(item.shortest_lag->count()) : "";
        flags += item.catching_up ? std::string_view{&lag_shrinks, 1} : std::string_view{};
    }
    if (item.statements != routing::statement_health::unknown) {
        flags += item.statements == routing::statement_health::all_break ? all_break : some_break;
    }
    out.field(flags);
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
    field_writer out{magic};
    out.field(std::string_view{&letter, 1});
    out.number(message.nonce);
    out.number(message.cluster);
    out.field(message.sender);
    out.field(message.data_center);
    out.number(message.incarnation);
    out.number(message.config_version);
    out.number(message.registry_version);
    write_age(out, message.config_age);
    write_age(out, message.registry_age);
    out.number(message.store_reachable ? 1 : 0);
    if (!message.has_reports) {
        out.field(no_reports);
    }
    for (const auto& item : message.primaries) {
        write_report(out, item);
    }
    if (!message.alive_peers.empty()) {
        out.field(alive_peers_mark);
    }
    for (const auto& item : message.alive_peers) {
        out.field(item.name);
        out.number(item.age.count());
    }
    return std::move(out).text();
}

std::optional<peer_message> decode(std::string_view bytes) {
    field_reader fields{bytes};
    if (fields.field() != magic) {
        return std::nullopt;
    }
    const auto what = kind_of(fields.field());
    if (!what) {
        return std::nullopt;
    }
    peer_message out;
    out.what = *what;
    out.nonce = fields.number();
    out.cluster = fields.number();
    out.sender = fields.field();
    out.data_center = fields.field();
    out.incarnation = fields.number();
    out.config_version = fields.number();
    out.registry_version = fields.number();
    out.config_age = fields.optional_age();
    out.registry_age = fields.optional_age();
    out.store_reachable = fields.number() != 0;
    if (fields.good() && fields.next() == no_reports) {
        out.has_reports = false;
        (void)fields.field();
    }
    while (fields.good() && !fields.done() && fields.next() != alive_peers_mark) {
        out.primaries.push_back(read_report(fields));
    }
    if (fields.good() && !fields.done()) {
        (void)fields.field();
        do {
            const auto name = fields.field();
            out.alive_peers.push_back({std::string{name}, fields.age()});
        } while (fields.good() && !fields.done());
    }
    if (!fields.good()) {
        return std::nullopt;
    }
    return out;
}

} // namespace cornellever::cluster
