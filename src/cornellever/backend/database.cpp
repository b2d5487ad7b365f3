#include "cornellever/backend/database.hpp"

#include <fstream>
#include <sstream>

namespace cornellever::backend {

namespace {

result<std::string> read_file(const std::filesystem::path& path) {
    std::ifstream in{path};
    if (!in) {
        return fail(errc::internal, "cannot read " + path.string());
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace

database::database(std::filesystem::path folder, std::vector<std::filesystem::path> scripts, sqlite_connection writer)
    : m_folder{std::move(folder)}
    , m_scripts{std::move(scripts)}
    , m_writer{std::move(writer)} {}

std::filesystem::path database::generation_file(const std::filesystem::path& folder, std::uint64_t generation) {
    return folder / ("data-" + std::to_string(generation) + ".sqlite");
}

result<sqlite_connection> database::seed(const std::filesystem::path& file,
                                         const std::vector<std::filesystem::path>& scripts) {
    std::error_code ignored;
    for (const auto* suffix : {"", "-wal", "-shm"}) {
        std::filesystem::remove(file.string() + suffix, ignored);
    }
    auto writer = sqlite_connection::open(file);
    if (!writer) {
        return writer;
    }
    for (const auto& script : scripts) {
        auto text = read_file(script);
        if (!text) {
            return std::unexpected{text.error()};
        }
        auto ran = writer->exec(*text);
        if (!ran) {
            return fail(errc::internal, script.string() + ": " + ran.error().message);
        }
    }
    return writer;
}

result<database> database::create(std::filesystem::path folder, std::vector<std::filesystem::path> scripts) {
    std::error_code ignored;
    std::filesystem::create_directories(folder, ignored);
    auto writer = seed(generation_file(folder, 0), scripts);
    if (!writer) {
        return std::unexpected{writer.error()};
    }
    return database{std::move(folder), std::move(scripts), std::move(*writer)};
}

result<void> database::rebuild() {
    auto writer = seed(generation_file(m_folder, m_generation + 1), m_scripts);
    if (!writer) {
        return std::unexpected{writer.error()};
    }
    m_writer = std::move(*writer);
    ++m_generation;
    m_applied_position = 0;
    return {};
}

result<void> database::apply(const log_entry& entry) {
    auto opened = m_writer.exec("BEGIN IMMEDIATE");
    if (!opened) {
        return opened;
    }
    for (const auto& statement : entry.statements) {
        auto ran = m_writer.run(statement.sql, statement.params);
        if (!ran) {
            (void)m_writer.exec("ROLLBACK");
            return std::unexpected{ran.error()};
        }
    }
    auto committed = m_writer.exec("COMMIT");
    if (!committed) {
        (void)m_writer.exec("ROLLBACK");
        return committed;
    }
    m_applied_position = entry.position;
    return committed;
}

result<sqlite_connection> database::connect() const {
    auto opened = sqlite_connection::open(generation_file(m_folder, m_generation));
    if (opened) {
        opened->refuse_connection_statements();
    }
    return opened;
}

} // namespace cornellever::backend
