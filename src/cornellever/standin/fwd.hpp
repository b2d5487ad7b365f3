#pragma once

namespace cornellever::standin {

struct row;
class table;
class vm_list;
struct faults;

} // namespace cornellever::standin
