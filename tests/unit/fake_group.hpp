#pragma once

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cornellever/core/quorum.hpp"
#include "cornellever/proxy/failover.hpp"

namespace cornellever::test {

/// The platform's table for one test: one row per database, with switches
/// for the ways it fails.
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
            co_return fail(errc::conflict, "moved on");
        }
        row = {value, expected + 1};
        if (lose_answers > 0) {
            --lose_answers;
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
    int lose_answers{0};
    std::mt19937_64* random{nullptr};
};

/// One instance as the terms' rules make it behave: it keeps the highest
/// term it was shown and refuses lower ones.
struct fake_instance {
    std::uint64_t term{1};
    bool leads{false};
    /// The term each entry was written in; position 1 first.
    std::vector<std::uint64_t> log;
    bool reachable{true};

    [[nodiscard]] proxy::write_mark end() const {
        return log.empty() ? proxy::write_mark{} : proxy::write_mark{log.back(), log.size()};
    }
};

/// The instances of one database, shared by every proxy of a test.
class fake_group {
public:
    explicit fake_group(std::size_t size) : instances(size) { instances.front().leads = true; }

    [[nodiscard]] std::vector<proxy::group_member> members() const {
        std::vector<proxy::group_member> out;
        for (std::size_t index = 0; index < instances.size(); ++index) {
            out.push_back({std::to_string(index), {}, avoided.contains(index)});
        }
        return out;
    }

    [[nodiscard]] fake_instance& at(const proxy::group_member& member) { return instances.at(std::stoul(member.key)); }

    asio::awaitable<result<void>> quiesce(const proxy::group_member&, std::uint64_t) { co_return result<void>{}; }

    asio::awaitable<result<std::vector<proxy::fenced_member>>> fence(std::span<const proxy::group_member> all,
                                                                     std::uint64_t term, std::size_t) {
        const std::vector<proxy::group_member> copy{all.begin(), all.end()};
        std::vector<proxy::fenced_member> out;
        for (const auto& member : copy) {
            co_await pause();
            auto& target = at(member);
            if (!target.reachable) {
                continue;
            }
            if (term < target.term || (term == target.term && target.leads)) {
                co_return fail(errc::fenced, "keeps a higher term");
            }
            target.leads = target.leads && term == target.term;
            target.term = term;
            out.push_back({member, target.end()});
        }
        co_return out;
    }

    asio::awaitable<result<void>> promote(const proxy::group_member& member, std::uint64_t term,
                                          std::span<const proxy::group_member>) {
        const auto copy = member;
        co_await before_promote();
        auto& target = at(copy);
        if (!target.reachable) {
            co_return fail(errc::outcome_unknown, "no answer");
        }
        if (term != target.term) {
            co_return fail(errc::fenced, "keeps another term");
        }
        target.leads = true;
        target.log.push_back(term);
        led.insert({term, copy.key});
        if (lose_promotions > 0) {
            --lose_promotions;
            co_return fail(errc::outcome_unknown, "answer lost");
        }
        co_return result<void>{};
    }

    asio::awaitable<void> before_promote() {
        if (hold_promotion.count() > 0) {
            const auto held = std::exchange(hold_promotion, std::chrono::milliseconds{0});
            co_await sleep_for(held);
        }
        co_await pause();
    }

    asio::awaitable<void> pause() {
        if (random != nullptr && (*random)() % 3 == 0) {
            co_await sleep_for(std::chrono::milliseconds{(*random)() % 4});
        }
    }

    std::vector<fake_instance> instances;
    std::set<std::size_t> avoided;
    /// Every (term, instance) that ever led.
    std::set<std::pair<std::uint64_t, std::string>> led;
    int lose_promotions{0};
    /// How long the next promotion is held up, as by a paused proxy.
    std::chrono::milliseconds hold_promotion{0};
    std::mt19937_64* random{nullptr};
};

} // namespace cornellever::test
