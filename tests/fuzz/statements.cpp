#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "cornellever/cluster/peer_message.hpp"
#include "cornellever/cluster/promotion_claim.hpp"
#include "cornellever/cluster/snapshot.hpp"
#include "cornellever/limits/grant_message.hpp"
#include "cornellever/rpc/envelope.hpp"
#include "platform/relay_codec.hpp"
#include "platform/row_codec.hpp"
#include "platform/statement_codec.hpp"

using namespace cornellever;

/// Any input from a caller, a backend server, a peer or the store is decoded or
/// refused. A caller's line must not become two lines for a server, which would
/// inject a statement, nor another line, and a decoded message can be encoded and
/// decoded again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view text{reinterpret_cast<const char*>(data), size};
    constexpr std::string_view line_terminator = "\r\n";
    const auto line = text.substr(0, text.find(line_terminator));
    const auto event = platform::decode_caller_line(line);
    if (const auto* request = std::get_if<sql::request>(&event)) {
        const auto bytes = platform::encode_command({request->id, request->what, {}});
        if (bytes.find(line_terminator) != bytes.size() - line_terminator.size()) {
            std::abort();
        }
        if (bytes.size() != line.size() + line_terminator.size() || !bytes.starts_with(line)) {
            std::abort();
        }
    }
    const auto from_peer = platform::decode_peer_line(line);
    if (const auto* opening = std::get_if<session::session_opening>(&from_peer); opening && opening->relayed) {
        const auto bytes = platform::encode_relayed_opening(*opening);
        const auto again = platform::decode_peer_line(std::string_view{bytes}.substr(0, bytes.size() - 2));
        const auto* same = std::get_if<session::session_opening>(&again);
        if (same == nullptr || same->key != opening->key) {
            std::abort();
        }
    }
    if (const auto question = limits::decode_grant_request(text)) {
        if (!limits::decode_grant_request(limits::encode(*question))) {
            std::abort();
        }
    }
    if (const auto answer = limits::decode_grant_response(text)) {
        if (!limits::decode_grant_response(limits::encode(*answer))) {
            std::abort();
        }
    }
    platform::reply_decoder decoder;
    for (auto rest = text; !rest.empty();) {
        const auto end = rest.find('\n');
        if (decoder.decode_line(rest.substr(0, end)) != platform::reply_decoder::step::more) {
            (void)decoder.finish();
        }
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
    }
    (void)platform::decode_status(text);
    (void)platform::decode_configuration(text);
    (void)platform::decode_server("id", text);
    (void)platform::decode_server(text, text);
    if (const auto claim = cluster::decode_claim(text)) {
        if (!cluster::decode_claim(cluster::encode(*claim))) {
            std::abort();
        }
    }
    if (const auto body = rpc::parse_json(text)) {
        (void)cluster::snapshot_from_json(*body);
    }
    if (const auto message = cluster::decode(text)) {
        if (!cluster::decode(cluster::encode(*message))) {
            std::abort();
        }
    }
    return 0;
}
