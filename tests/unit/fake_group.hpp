#pragma once

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cornellever/core/quorum.hpp"
#include "cornellever/proxy/failover.hpp"

namespace cornellever::test {

/// The platform's table with one row per database and switches to inject faults.
class fake_store {
public:
    asio::awaitable<result<proxy::versioned_record>> read(std::string_view database) {
        co_await pause();
        if (down) {
            co_return fail(errc::unavailable, "down");
        }
        co_return rows[std::string{database}];
    }

    asio::awaitable<result<std::uint64_t>> write(std::string_view database, const proxy::group_record& record,
                                                 std::uint64_t expected) {
        const auto key = std::string{database};
        const auto value = record;
        co_await pause();
        if (down) {
            co_return fail(errc::unavailable, "down");
        }
        auto& row = rows[key];
        if (row.version != expected) {
            co_return fail(errc::conflict, "version conflict");
        }
        row = {value, expected + 1};
        if (drop_answers > 0) {
            --drop_answers;
            co_return fail(errc::outcome_unknown, "answer lost");
        }
        co_return row.version;
    }

    asio::awaitable<void> pause() {
        if (random != nullptr && (*random)() % 4 == 0) {
            co_await sleep_for(std::chrono::milliseconds{(*random)() % 3});
        }
    }

    std::map<std::string, proxy::versioned_record> rows;
    bool down{false};
    int drop_answers{0};
    std::mt19937_64* random{nullptr};
};

/// One instance that follows the rules for terms: it keeps the highest term it has seen and refuses lower ones.
struct fake_instance {
    std::uint64_t term{1};
    bool is_primary{false};
    /// The term of each entry; index 0 is position 1.
    std::vector<std::uint64_t> log;
    bool reachable{true};

    [[nodiscard]] proxy::term_position end() const {
        return log.empty() ? proxy::term_position{} : proxy::term_position{log.back(), log.size()};
    }
};

/// The instances of one database, shared by all proxies of a test.
class fake_group {
public:
    explicit fake_group(std::size_t size) : instances(size) { instances.front().is_primary = true; }

    [[nodiscard]] std::vector<proxy::group_member> members() const {
        std::vector<proxy::group_member> out;
        for (std::size_t index = 0; index < instances.size(); ++index) {
            out.push_back({std::to_string(index), {}, not_preferred.contains(index)});
        }
        return out;
    }

    [[nodiscard]] fake_instance& instance_of(const proxy::group_member& member) {
        return instances.at(std::stoul(member.key));
    }

    asio::awaitable<result<void>> quiesce(const proxy::group_member&, std::uint64_t) { co_return result<void>{}; }

    asio::awaitable<result<std::vector<proxy::fenced_member>>> fence(std::span<const proxy::group_member> all,
                                                                     std::uint64_t term, std::size_t) {
        const std::vector<proxy::group_member> copy{all.begin(), all.end()};
        std::vector<proxy::fenced_member> out;
        for (const auto& member : copy) {
            co_await pause();
            auto& target = instance_of(member);
            if (!target.reachable) {
                continue;
            }
            if (term < target.term || (term == target.term && target.is_primary)) {
                co_return fail(errc::fenced, "keeps a higher term");
            }
            target.is_primary = target.is_primary && term == target.term;
            target.term = term;
            out.push_back({member, target.end()});
        }
        co_return out;
    }

    asio::awaitable<result<void>> promote(const proxy::group_member& member, std::uint64_t term,
                                          std::span<const proxy::group_member>) {
        const auto copy = member;
        co_await delay_promotion();
        auto& target = instance_of(copy);
        if (!target.reachable) {
            co_return fail(errc::outcome_unknown, "no answer");
        }
        if (term != target.term) {
            co_return fail(errc::fenced, "keeps another term");
        }
        target.is_primary = true;
        target.log.push_back(term);
        promotions.insert({term, copy.key});
        if (drop_promotion_answers > 0) {
            --drop_promotion_answers;
            co_return fail(errc::outcome_unknown, "answer lost");
        }
        co_return result<void>{};
    }

    asio::awaitable<void> delay_promotion() {
        if (promotion_delay.count() > 0) {
            const auto delay = std::exchange(promotion_delay, std::chrono::milliseconds{0});
            co_await sleep_for(delay);
        }
        co_await pause();
    }

    asio::awaitable<void> pause() {
        if (random != nullptr && (*random)() % 3 == 0) {
            co_await sleep_for(std::chrono::milliseconds{(*random)() % 4});
        }
    }

    std::vector<fake_instance> instances;
    std::set<std::size_t> not_preferred;
    /// Every promotion as (term, instance).
    std::set<std::pair<std::uint64_t, std::string>> promotions;
    int drop_promotion_answers{0};
    /// Delay of the next promotion, as if the proxy were paused.
    std::chrono::milliseconds promotion_delay{0};
    std::mt19937_64* random{nullptr};
};

} // namespace cornellever::test
