#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "cornellever/config/json.hpp"
#include "cornellever/proxy/group_record.hpp"
#include "cornellever/proxy/request.hpp"
#include "cornellever/rpc/envelope.hpp"

using namespace cornellever;

namespace {

/// An error of a decoder always has a code that means "not run", and a message.
template <typename T>
void check(const result<T>& decoded) {
    if (!decoded && (!guarantees_not_executed(decoded.error().code) || decoded.error().message.empty())) {
        std::abort();
    }
}

} // namespace

// Any bytes from a caller give a request or an error that means "not run", never
// an exception; replies of backends and rows of the platform do not throw either.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view text{reinterpret_cast<const char*>(data), size};
    const auto request = rpc::decode_request(text);
    check(request);
    if (request) {
        check(proxy::decode_execute(request->params));
        check(proxy::decode_begin(request->params));
        check(proxy::decode_finish(request->params));
        check(proxy::group_record_from_json(request->params));
        check(config::from_json(request->params));
    }
    const auto answer = rpc::parse_json(text);
    if (rpc::is_response_to(answer, 1)) {
        (void)rpc::decode_response(*answer);
    }
    return 0;
}
