#pragma once

namespace cornellever::rpc {

struct connection;
struct connection_state;
class server;
class channel;

} // namespace cornellever::rpc
