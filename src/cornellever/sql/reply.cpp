#include "cornellever/sql/reply.hpp"

#include <array>
#include <utility>

namespace cornellever::sql {

namespace {

constexpr std::array names{
    std::pair{refusal::overloaded, std::string_view{"overloaded"}},
    std::pair{refusal::aborted, std::string_view{"aborted"}},
    std::pair{refusal::behind, std::string_view{"behind"}},
    std::pair{refusal::not_primary, std::string_view{"not_primary"}},
    std::pair{refusal::wrong_server, std::string_view{"wrong_server"}},
    std::pair{refusal::too_many_connections, std::string_view{"too_many_connections"}},
    std::pair{refusal::outcome_unknown, std::string_view{"outcome_unknown"}},
    std::pair{refusal::timed_out, std::string_view{"timed_out"}},
    std::pair{refusal::failed, std::string_view{"failed"}},
    std::pair{refusal::malformed, std::string_view{"malformed"}},
    std::pair{refusal::no_such_database, std::string_view{"no_such_database"}},
    std::pair{refusal::no_such_prepared_statement, std::string_view{"no_such_prepared_statement"}},
    std::pair{refusal::unknown_key, std::string_view{"unknown_key"}},
};

} // namespace

std::string_view to_string(refusal why) noexcept {
    for (const auto& [value, name] : names) {
        if (value == why) {
            return name;
        }
    }
    return "unknown";
}

bool server_did_not_run(refusal why) noexcept {
    switch (why) {
    case refusal::overloaded:
    case refusal::behind:
    case refusal::not_primary:
    case refusal::no_such_prepared_statement:
    case refusal::wrong_server:
    case refusal::too_many_connections:
        return true;
    default:
        return false;
    }
}

} // namespace cornellever::sql
