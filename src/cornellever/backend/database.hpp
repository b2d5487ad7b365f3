#pragma once

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

#include "cornellever/backend/log.hpp"
#include "cornellever/backend/sqlite.hpp"

namespace cornellever::backend {

/// The SQLite database of one instance of the stand-in server (a simulated
/// backend server for tests), built by running the seed scripts and applying the
/// entries of the write log. Applied entries cannot be undone individually. When
/// the log is truncated below the applied position, because a newer primary wrote
/// other entries at these positions, the database is therefore rebuilt from the
/// seed scripts in a new file. `generation` counts these rebuilds, so that
/// connections to an earlier file can be detected.
class database {
public:
    /// Creates the first generation in `folder` and runs `scripts` on it.
    /// Errors: `internal` when a script cannot be read or fails.
    [[nodiscard]] static result<database> create(std::filesystem::path folder,
                                                 std::vector<std::filesystem::path> scripts);

    /// Replaces the database by a new generation that contains only the seed
    /// data. No log entry is applied.
    [[nodiscard]] result<void> rebuild();

    /// Applies one log entry in one transaction, which is rolled back on error.
    [[nodiscard]] result<void> apply(const log_entry& entry);

    /// Opens a connection to the current generation for a client.
    [[nodiscard]] result<sqlite_connection> connect() const;

    /// The number of rebuilds. A connection that was opened on another generation
    /// is stale.
    [[nodiscard]] std::uint64_t generation() const noexcept { return m_generation; }

    /// The log position of the last entry applied to the database.
    [[nodiscard]] std::uint64_t applied_position() const noexcept { return m_applied_position; }

    /// Records that the database already contains the entry at `position`: on a
    /// primary, the client's own SQLite connection has committed the transaction.
    void record_local_commit(std::uint64_t position) noexcept { m_applied_position = position; }

private:
    database(std::filesystem::path folder, std::vector<std::filesystem::path> scripts, sqlite_connection writer);

    [[nodiscard]] static result<sqlite_connection> seed(const std::filesystem::path& file,
                                                        const std::vector<std::filesystem::path>& scripts);
    [[nodiscard]] static std::filesystem::path generation_file(const std::filesystem::path& folder,
                                                               std::uint64_t generation);

    std::filesystem::path m_folder;
    std::vector<std::filesystem::path> m_scripts;
    sqlite_connection m_writer;
    std::uint64_t m_generation{0};
    std::uint64_t m_applied_position{0};
};

} // namespace cornellever::backend
