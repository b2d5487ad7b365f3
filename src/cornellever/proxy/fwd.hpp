#pragma once

namespace cornellever::proxy {

struct session_token;
class pool;
class topology;
class router;
struct settings;

} // namespace cornellever::proxy
