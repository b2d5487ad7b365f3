#pragma once

namespace cornellever::rpc {

struct connection;
struct connection_state;
class server;
class channel;
class kept_channel;

} // namespace cornellever::rpc
