#pragma once

#include <filesystem>
#include <string>
#include <vector>

#include <jsoncpp/json/value.h>

#include "cornellever/core/asio.hpp"
#include "cornellever/core/error.hpp"

namespace cornellever::bench {

/// One step of a scripted caller session: which proxy (by index into the
/// proxies given), the method and its params. In params, the string
/// "$session" stands for the token of the latest answer and "$transaction"
/// for the id of the latest `begin`.
struct session_step {
    std::size_t proxy{0};
    std::string description;
    std::string method;
    Json::Value params;
};

/// Reads a session script: a JSON array of steps. Errors: `bad_request`.
[[nodiscard]] result<std::vector<session_step>> read_session_script(const std::filesystem::path& path);

/// One request and its answer, as the transcript records it.
struct exchange {
    std::size_t proxy{0};
    std::string method;
    Json::Value params;
    Json::Value answer;
    bool ok{false};
};

/// Runs the script through `proxies` in order, carrying the session token
/// from answer to request as a caller library would.
[[nodiscard]] std::vector<exchange> run_session(const std::vector<session_step>& steps,
                                                const std::vector<tcp::endpoint>& proxies);

/// The exchange with volatile fields normalised (transaction ids, instance
/// names), so that transcripts of one script compare equal across runs.
[[nodiscard]] Json::Value normalised(const exchange& item);

} // namespace cornellever::bench
