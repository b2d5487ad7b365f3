#pragma once

namespace cornellever::proxy {

struct session_token;
struct term_position;
struct group_record;
struct heartbeat;
struct instance_view;
class pool;
class pooled_connection;
class topology;
class confirmer;
class backend_connections;
class request_record;
class read_path;
class write_path;
class transaction_table;
class router;
class config_follower;
class primary_monitor;
class control;
class graceful_shutdown;
class platform_store;
class backend_group;

} // namespace cornellever::proxy
