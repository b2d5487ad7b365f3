#pragma once

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <random>
#include <string>
#include <utility>

#include "cornellever/cluster/metadata_store.hpp"
#include "cornellever/core/asio.hpp"
#include "cornellever/core/backoff.hpp"
#include "cornellever/core/log.hpp"

namespace cornellever::cluster {

/// Adds a proxy's row to the table of proxies. A proxy that reads the table after this row was
/// written finds this proxy, and this proxy reads the table after writing its row, so that no two
/// proxies miss each other.
///
/// The store executes the writes to a table one after another. When hundreds of proxies start
/// together, most first attempts are refused or answered late, and constant pauses between the
/// attempts would keep the store at its limit, so the pauses grow.
template <metadata_store Store>
class registration {
public:
    struct row {
        std::string key;
        std::string value;
    };

    registration(Store& store, std::string table, row own, backoff pauses)
        : m_store{store}
        , m_table{std::move(table)}
        , m_own{std::move(own)}
        , m_pauses{std::move(pauses)} {}

    /// Writes the row, unless `in_table` says that an earlier process of this proxy has written it,
    /// and reads the table until it holds the row. `listed` is called with each reading. Returns
    /// whether the row was written.
    template <typename Listed>
    asio::awaitable<bool> run(bool in_table, Listed listed) {
        bool added = false;
        for (;;) {
            if (!in_table) {
                const auto written = co_await m_store.write(m_table, m_own.key, m_own.value);
                if (!written) {
                    co_await pause_after(written.error());
                    continue;
                }
                in_table = true;
                added = true;
            }
            auto rows = co_await m_store.list(m_table);
            if (!rows) {
                co_await pause_after(rows.error());
                continue;
            }
            in_table = std::ranges::any_of(
                rows->rows, [&](const store_row& item) { return item.key == m_own.key && item.value == m_own.value; });
            co_await listed(std::move(*rows));
            if (in_table) {
                log_success();
                co_return added;
            }
            const error row_missing{errc::behind, "the listed table lacks this proxy's row", {}};
            co_await pause_after(row_missing);
        }
    }

private:
    asio::awaitable<void> pause_after(const error& why) {
        if (++m_failures == 1) {
            log_event(event::store_lost, "table=" + m_table + " reason=\"" + why.message + "\"");
        }
        co_await sleep_for(m_pauses.next());
    }

    void log_success() const {
        if (m_failures > 0) {
            log_event(event::store_regained, "table=" + m_table + " failures=" + std::to_string(m_failures));
        }
    }

    Store& m_store;
    std::string m_table;
    row m_own;
    backoff m_pauses;
    int m_failures{0};
};

} // namespace cornellever::cluster
