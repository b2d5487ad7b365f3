#include "cornellever/config/model.hpp"

#include <algorithm>

namespace cornellever::config {

const service* find_service(const cluster& config, std::string_view name) {
    const auto found = std::ranges::find(config.services, name, &service::name);
    return found == config.services.end() ? nullptr : &*found;
}

const database* find_database(const service& owner, std::string_view name) {
    const auto found = std::ranges::find(owner.databases, name, &database::name);
    return found == owner.databases.end() ? nullptr : &*found;
}

} // namespace cornellever::config
