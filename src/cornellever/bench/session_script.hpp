#pragma once

#include <filesystem>
#include <string>
#include <vector>

#include <jsoncpp/json/value.h>

#include "cornellever/core/asio.hpp"
#include "cornellever/core/error.hpp"

namespace cornellever::bench {

/// One request of a scripted caller session. In `params`, the string "$session"
/// stands for the session token of the latest answer and "$transaction" for the
/// transaction id of the latest `begin`.
struct session_step {
    /// Index into the list of proxies.
    std::size_t proxy{0};
    /// Explains the step in the printed output.
    std::string description;
    std::string method;
    Json::Value params;
};

/// Reads a session script, which is a JSON array of steps. Errors: `bad_request`.
[[nodiscard]] result<std::vector<session_step>> read_session_script(const std::filesystem::path& path);

/// One request and its answer, as recorded in the transcript.
struct exchange {
    std::size_t proxy{0};
    std::string method;
    Json::Value params;
    Json::Value answer;
    bool ok{false};
};

/// Runs the steps in order, passing the session token of each answer on to the
/// next request as a client library would.
[[nodiscard]] std::vector<exchange> run_session(const std::vector<session_step>& steps,
                                                const std::vector<tcp::endpoint>& proxies);

/// The exchange without the fields that vary between runs, such as transaction
/// ids and instance names, so that transcripts of one script can be compared.
[[nodiscard]] Json::Value normalised(const exchange& item);

} // namespace cornellever::bench
