#pragma once

#include <filesystem>
#include <string>
#include <vector>

#include <jsoncpp/json/value.h>

#include "cornellever/core/asio.hpp"
#include "cornellever/core/error.hpp"

namespace cornellever::bench {

/// One request of a scripted session of a caller (a client application). In
/// `params`, the string "$session" stands for the session token of the latest
/// response and "$transaction" for the transaction id that the latest `begin`
/// returned.
struct session_step {
    /// Index into the list of proxies.
    std::size_t proxy{0};
    /// The explanation of the step in the printed output.
    std::string description;
    std::string method;
    Json::Value params;
};

/// Reads a session script, which is a JSON array of steps. Errors: `bad_request`.
[[nodiscard]] result<std::vector<session_step>> read_session_script(const std::filesystem::path& path);

/// One request and its response, as recorded in the transcript.
struct exchange {
    std::size_t proxy{0};
    std::string method;
    Json::Value params;
    Json::Value answer;
    bool ok{false};
};

/// Runs the steps in order and passes the session token of each response on to
/// the next request, as a client library would.
[[nodiscard]] std::vector<exchange> run_session(const std::vector<session_step>& steps,
                                                const std::vector<tcp::endpoint>& proxies);

/// Returns the exchange without the fields that vary between runs, such as
/// transaction ids and instance names, so that the transcripts of several runs of
/// a script can be compared.
[[nodiscard]] Json::Value normalised(const exchange& item);

} // namespace cornellever::bench
