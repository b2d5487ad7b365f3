#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cornellever/core/asio.hpp"
#include "cornellever/core/error.hpp"

namespace cornellever::cluster {

/// A row of the metadata store.
struct store_row {
    std::string key;
    std::string value;
    /// The store's version number at the row's last change.
    std::uint64_t version{0};
    bool deleted{false};
    /// The store's steady clock when it responded; set only if a single row was read.
    std::chrono::milliseconds store_time{0};
};

/// Rows as of one version of the store.
struct store_rows {
    std::vector<store_row> rows;
    std::uint64_t version{0};
    /// The store's steady clock when it responded.
    std::chrono::milliseconds store_time{0};
};

/// Durable storage for cluster metadata. Errors: `unavailable` and `busy` (the call was not
/// executed), `behind` (the requested change history was discarded, so the whole table has to be
/// read again), `conflict` (the condition of a write did not hold), `outcome_unknown` (the call may
/// have been executed, or may be executed later if its condition still holds).
template <typename T>
concept metadata_store = requires(T store, std::string table, std::string key, std::string value, std::uint64_t version,
                                  std::chrono::milliseconds wait) {
    /// Returns all rows of a table.
    { store.list(table) } -> std::same_as<asio::awaitable<result<store_rows>>>;
    /// Waits up to `wait` for changes after `version` and returns the changed rows.
    { store.changes(table, version, wait) } -> std::same_as<asio::awaitable<result<store_rows>>>;
    /// Returns one row; a row that does not exist has version 0.
    { store.read(table, key) } -> std::same_as<asio::awaitable<result<store_row>>>;
    /// Writes a row if its version is still `version` (0 if the row must not exist yet) and returns
    /// the row's new version.
    { store.write_if(table, key, value, version) } -> std::same_as<asio::awaitable<result<std::uint64_t>>>;
    { store.write(table, key, value) } -> std::same_as<asio::awaitable<result<std::uint64_t>>>;
    { store.remove(table, key) } -> std::same_as<asio::awaitable<result<std::uint64_t>>>;
};

} // namespace cornellever::cluster
