#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "cornellever/config/ini_text.hpp"
#include "cornellever/config/json.hpp"
#include "cornellever/config/load.hpp"
#include "cornellever/ini/reader.hpp"

using namespace cornellever;

// Any configuration text gives either findings or a configuration that is
// unchanged after it was stored and read back.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    ini::document document;
    ini::read_text(std::string_view{reinterpret_cast<const char*>(data), size}, "fuzz.ini", document);
    const auto loaded = config::from_document(document);
    if (!loaded.ok()) {
        return 0;
    }
    const auto stored = config::to_json(loaded.config);
    const auto read_back = config::from_json(stored);
    if (!read_back || config::to_json(*read_back) != stored) {
        std::abort();
    }
    // The INI text that `ctl fetch` writes gives the same configuration again.
    ini::document fetched;
    ini::read_text(config::to_ini(loaded.config), "fetched.ini", fetched);
    const auto again = config::from_document(fetched);
    if (again.ok() && config::to_json(again.config) != stored) {
        std::abort();
    }
    return 0;
}
