#include "cornellever/ctl/losses.hpp"

#include <algorithm>

namespace cornellever::ctl {

namespace {

constexpr std::size_t second_size = 19;

/// A reason's words, without the time to come back that follows them.
std::string words_of(std::string_view reason) {
    return std::string{reason.substr(0, reason.find(';'))};
}

loss_place place_of_refusal(const log_line& line) {
    const auto reason = line.field("reason");
    if (reason.starts_with("owner_gone")) {
        return loss_place::relay;
    }
    const bool held_long = line.milliseconds("age_ms") > line.milliseconds("aim_ms");
    if (reason.starts_with("the path to the primary") || (line.milliseconds("aim_ms") > 0 && held_long)) {
        return loss_place::no_primary;
    }
    return loss_place::queue;
}

} // namespace

std::string_view to_string(loss_place where) noexcept {
    switch (where) {
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

void loss_table::take(std::string_view log) {
    while (!log.empty()) {
        const auto end = log.find('\n');
        if (const auto line = parse_log_line(log.substr(0, end))) {
            take_line(*line);
        }
        log = end == std::string_view::npos ? std::string_view{} : log.substr(end + 1);
    }
}

void loss_table::take_line(const log_line& line) {
    const auto reason = line.field("reason");
    const bool relayed = reason == "owner_gone";
    if (line.event == "request.served") {
        const auto age = line.milliseconds("age_ms");
        const auto aim = line.milliseconds("aim_ms");
        if (aim > 0 && age > aim) {
            const bool at_server = 2 * line.milliseconds("ran_ms") >= age;
            add(line, at_server ? loss_place::server : loss_place::queue, "late", true);
        }
    } else if (line.event == "request.refused") {
        add(line, place_of_refusal(line), "refused: " + words_of(reason), true);
    } else if (line.event == "request.outcome_unknown") {
        add(line, relayed ? loss_place::relay : loss_place::server, "outcome unknown: " + words_of(reason), true);
    } else if (line.event == "transaction.failed") {
        add(line, loss_place::server, "transaction failed: " + words_of(reason), true);
    } else if (line.event == "request.retried") {
        const auto words = reason.substr(0, reason.find(' '));
        add(line, relayed ? loss_place::relay : loss_place::server, "tried again: " + std::string{words}, false);
    } else if (line.event == "limit.refused" || line.event == "request.forbidden") {
        add(line, loss_place::account, "refused: " + std::string{reason.substr(0, reason.find(' '))}, true);
    } else if (line.event == "session.refused" && reason != "no_such_database" && reason != "unknown_key") {
        add(line, loss_place::opening, "refused: " + words_of(reason), true);
    }
}

void loss_table::add(const log_line& line, loss_place where, std::string reason, bool final) {
    const auto service = line.field("service").empty() ? line.field("database") : line.field("service");
    const auto waited = line.milliseconds("age_ms");
    m_kinds[{where, std::move(reason), std::string{service}}].add(waited);
    if (final && line.time.size() >= second_size) {
        m_seconds[std::string{line.time.substr(0, second_size)}].add(waited);
    }
}

std::vector<loss_table::row> loss_table::rows() const {
    std::vector<row> out;
    for (const auto& [kind, count] : m_kinds) {
        out.push_back({kind, count});
    }
    std::ranges::stable_sort(out, std::greater{}, [](const row& item) { return item.count.requests; });
    return out;
}

} // namespace cornellever::ctl
