#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cornellever/cluster/metadata_store.hpp"

namespace cornellever::cluster {

/// Why the metadata store was called.
enum class store_purpose {
    /// This proxy's own row in the proxies table was written or removed.
    own_row,
    first_reading,
    /// The changes to a table were requested, usually with a long poll.
    waiting,
    /// A whole table was read again, because peers may have missed a change or because the table's
    /// change history was discarded.
    reading_again,
    /// Any call that followed a failed call on the same table.
    retry,
    /// A single row was read or written conditionally, such as the claim row that reserves a
    /// promotion for one proxy.
    claim,
};

[[nodiscard]] constexpr std::string_view to_string(store_purpose why) noexcept {
    switch (why) {
    case store_purpose::own_row:
        return "own_row";
    case store_purpose::first_reading:
        return "first_reading";
    case store_purpose::waiting:
        return "waiting";
    case store_purpose::reading_again:
        return "reading_again";
    case store_purpose::retry:
        return "retry";
    case store_purpose::claim:
        return "claim";
    }
    return "-";
}

/// A `metadata_store` that forwards each call to another `metadata_store` and counts the call by
/// table and purpose. The store limits the rate of all proxies' calls together and every call costs
/// money, so operators need to see what causes the calls.
template <metadata_store Store>
class counted_store {
public:
    struct count {
        std::string table;
        store_purpose why{store_purpose::waiting};
        std::uint64_t calls{0};
    };

    explicit counted_store(Store& store) : m_store{store} {}

    asio::awaitable<result<store_rows>> list(std::string table) {
        const bool loaded = m_loaded[table];
        count_call(table, loaded ? store_purpose::reading_again : store_purpose::first_reading);
        auto out = co_await m_store.list(table);
        record_outcome(table, out.has_value());
        m_loaded[table] = loaded || out.has_value();
        co_return out;
    }

    asio::awaitable<result<store_rows>> changes(std::string table, std::uint64_t after,
                                                std::chrono::milliseconds wait) {
        count_call(table, store_purpose::waiting);
        auto out = co_await m_store.changes(table, after, wait);
        record_outcome(table, out.has_value() || out.error().code == errc::behind);
        co_return out;
    }

    asio::awaitable<result<store_row>> read(std::string table, std::string key) {
        count_call(table, store_purpose::claim);
        co_return co_await m_store.read(std::move(table), std::move(key));
    }

    asio::awaitable<result<std::uint64_t>> write_if(std::string table, std::string key, std::string value,
                                                    std::uint64_t version) {
        count_call(table, store_purpose::claim);
        co_return co_await m_store.write_if(std::move(table), std::move(key), std::move(value), version);
    }

    asio::awaitable<result<std::uint64_t>> write(std::string table, std::string key, std::string value) {
        count_call(table, store_purpose::own_row);
        auto out = co_await m_store.write(table, std::move(key), std::move(value));
        record_outcome(table, out.has_value());
        co_return out;
    }

    asio::awaitable<result<std::uint64_t>> remove(std::string table, std::string key) {
        count_call(table, store_purpose::own_row);
        co_return co_await m_store.remove(std::move(table), std::move(key));
    }

    /// Returns the number of calls so far for each table and purpose that occurred. Can be called
    /// from any thread.
    [[nodiscard]] std::vector<count> counts() const {
        const std::scoped_lock lock{m_mutex};
        std::vector<count> out;
        for (const auto& [key, calls] : m_calls) {
            out.push_back({key.first, key.second, calls});
        }
        return out;
    }

private:
    void count_call(const std::string& table, store_purpose why) {
        const std::scoped_lock lock{m_mutex};
        ++m_calls[{table, m_failed[table] ? store_purpose::retry : why}];
    }

    void record_outcome(const std::string& table, bool answered) {
        const std::scoped_lock lock{m_mutex};
        m_failed[table] = !answered;
    }

    Store& m_store;
    /// For each table: whether it has been read completely, and whether the last call on it failed.
    std::map<std::string, bool, std::less<>> m_loaded;
    std::map<std::string, bool, std::less<>> m_failed;
    mutable std::mutex m_mutex;
    std::map<std::pair<std::string, store_purpose>, std::uint64_t> m_calls;
};

} // namespace cornellever::cluster
