#pragma once

#include <filesystem>
#include <map>
#include <string>

#include "cornellever/core/asio.hpp"
#include "cornellever/rpc/server.hpp"
#include "cornellever/standin/faults.hpp"
#include "cornellever/standin/table.hpp"
#include "cornellever/standin/vm_list.hpp"

namespace cornellever::standin {

/// Settings of the simulated platform (see `platform_service`).
struct platform_settings {
    /// The delay after which readers see a change of the VM list.
    std::chrono::milliseconds vm_list_lag{2000};
    /// File that keeps table rows and objects across restarts; with an empty
    /// path, nothing is kept.
    std::filesystem::path snapshot;
};

/// Simulates the platform for tests. The platform is the external service that
/// keeps the configuration and the list of VMs of a deployment. The simulation holds
/// a transactional table, an object store and the list of VMs in memory. The RPC
/// methods are `table.*`, `object.*`, `vms.*`, `fault.set` and `dump`.
/// Single-threaded.
class platform_service {
public:
    platform_service(asio::any_io_executor executor, platform_settings settings);

    /// Registers every method on `rpc`.
    void bind(rpc::server& rpc);

private:
    using params = const Json::Value&;

    /// Runs `call` with the current faults applied. Saves the snapshot after a
    /// successful write.
    asio::awaitable<result<Json::Value>> call_with_faults(params in, rpc::connection& conn, bool writes,
                                                          result<Json::Value> (platform_service::*call)(params));
    result<Json::Value> table_get(params in);
    /// Writes a row if the row is at `expected_version`.
    result<Json::Value> table_put(params in);
    /// Writes several rows if all preconditions on the versions of rows hold.
    result<Json::Value> table_transact(params in);
    result<Json::Value> table_list(params in);
    result<Json::Value> object_put(params in);
    result<Json::Value> object_get(params in);
    result<Json::Value> object_list(params in);
    result<Json::Value> vms_set(params in);
    result<Json::Value> vms_list(params in);
    result<Json::Value> dump(params in);
    void save_snapshot();
    void load_snapshot();

    asio::any_io_executor m_executor;
    platform_settings m_settings;
    table m_table;
    std::map<std::string, std::string, std::less<>> m_objects;
    vm_list m_vm_list;
    faults m_faults;
};

} // namespace cornellever::standin
