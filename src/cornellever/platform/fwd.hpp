#pragma once

namespace cornellever::platform {

struct row;
class table;
class vm_list;
struct faults;

} // namespace cornellever::platform
