#include "cornellever/ctl/losses.hpp"

#include <algorithm>

namespace cornellever::ctl {

namespace {

/// Length of a timestamp without milliseconds.
constexpr std::size_t length_to_second = 19;

/// Returns the reason without the retry hint that may follow a semicolon.
std::string without_retry_hint(std::string_view reason) {
    return std::string{reason.substr(0, reason.find(';'))};
}

loss_place place_of_refusal(const log_line& line) {
    const auto reason = line.field("reason");
    if (reason.starts_with("owner_gone")) {
        return loss_place::relay;
    }
    const bool past_target = line.milliseconds("age_ms") > line.milliseconds("aim_ms");
    if (reason.starts_with("the path to the primary") || (line.milliseconds("aim_ms") > 0 && past_target)) {
        return loss_place::no_primary;
    }
    return loss_place::queue;
}

} // namespace

std::string_view to_string(loss_place place) noexcept {
    switch (place) {
    case loss_place::opening:
        return "opening";
    case loss_place::queue:
        return "queue";
    case loss_place::no_primary:
        return "no_primary";
    case loss_place::relay:
        return "relay";
    case loss_place::server:
        return "server";
    case loss_place::account:
        return "account";
    }
    return "-";
}

void loss_count::add(long long waited) {
    ++requests;
    waited_ms += waited;
    longest_ms = std::max(longest_ms, waited);
}

void loss_table::add_log(std::string_view log) {
    while (!log.empty()) {
        const auto end = log.find('\n');
        if (const auto line = parse_log_line(log.substr(0, end))) {
            add_line(*line);
        }
        log = end == std::string_view::npos ? std::string_view{} : log.substr(end + 1);
    }
}

void loss_table::add_line(const log_line& line) {
    const auto reason = line.field("reason");
    const bool at_relay = reason == "owner_gone";
    if (line.event == "request.served") {
        const auto age = line.milliseconds("age_ms");
        const auto target = line.milliseconds("aim_ms");
        if (target > 0 && age > target) {
            const bool at_server = 2 * line.milliseconds("ran_ms") >= age;
            add(line, at_server ? loss_place::server : loss_place::queue, "late", true);
        }
    } else if (line.event == "request.refused") {
        add(line, place_of_refusal(line), "refused: " + without_retry_hint(reason), true);
    } else if (line.event == "request.outcome_unknown") {
        add(line, at_relay ? loss_place::relay : loss_place::server, "outcome unknown: " + without_retry_hint(reason),
            true);
    } else if (line.event == "transaction.failed") {
        add(line, loss_place::server, "transaction failed: " + without_retry_hint(reason), true);
    } else if (line.event == "request.retried") {
        const auto first_word = reason.substr(0, reason.find(' '));
        add(line, at_relay ? loss_place::relay : loss_place::server, "retried: " + std::string{first_word}, false);
    } else if (line.event == "limit.refused" || line.event == "request.forbidden") {
        add(line, loss_place::account, "refused: " + std::string{reason.substr(0, reason.find(' '))}, true);
    } else if (line.event == "session.refused" && reason != "no_such_database" && reason != "unknown_key") {
        add(line, loss_place::opening, "refused: " + without_retry_hint(reason), true);
    }
}

void loss_table::add(const log_line& line, loss_place place, std::string reason, bool final) {
    const auto service = line.field("service").empty() ? line.field("database") : line.field("service");
    const auto waited = line.milliseconds("age_ms");
    const auto account = line.field("account") == "-" ? std::string_view{} : line.field("account");
    m_counts[{place, std::move(reason), std::string{service}, std::string{account}}].add(waited);
    if (final && line.timestamp.size() >= length_to_second) {
        m_per_second[std::string{line.timestamp.substr(0, length_to_second)}].add(waited);
    }
}

std::vector<loss_table::row> loss_table::rows() const {
    std::vector<row> out;
    out.reserve(m_counts.size());
    for (const auto& [group, count] : m_counts) {
        out.push_back({group, count});
    }
    std::ranges::stable_sort(out, std::greater{}, [](const row& item) { return item.count.requests; });
    return out;
}

} // namespace cornellever::ctl
