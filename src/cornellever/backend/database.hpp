#pragma once

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

#include "cornellever/backend/log.hpp"
#include "cornellever/backend/sqlite.hpp"

namespace cornellever::backend {

/// The SQLite database of one instance, built from seed scripts and the
/// entries of its log. A log that has to give up entries (another primary
/// wrote others at their positions) is undone by rebuilding from the seed
/// into a new file: `generation` tells connections that theirs is stale.
class database {
public:
    /// Creates the first generation in `folder`. Errors: `internal`.
    [[nodiscard]] static result<database> create(std::filesystem::path folder,
                                                 std::vector<std::filesystem::path> scripts);

    /// Starts again from the seed scripts, nothing applied.
    [[nodiscard]] result<void> rebuild();

    /// Applies one log entry in one transaction.
    [[nodiscard]] result<void> apply(const log_entry& entry);

    /// Opens a caller's connection to the present generation.
    [[nodiscard]] result<sqlite_connection> connect() const;

    /// Counts rebuilds; a connection from another generation is stale.
    [[nodiscard]] std::uint64_t generation() const noexcept { return m_generation; }

    /// The position of the last entry applied.
    [[nodiscard]] std::uint64_t applied_position() const noexcept { return m_applied_position; }

    /// Records that `position` is in the database because a caller's own
    /// connection committed it here, on the primary.
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
