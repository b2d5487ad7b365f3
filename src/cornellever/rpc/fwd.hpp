#pragma once

namespace cornellever::rpc {

struct connection;
struct connection_state;
class server;
class channel;
class reconnecting_channel;

} // namespace cornellever::rpc
