#pragma once

namespace cornellever::config {

struct instance;
struct database;
struct service;
struct cluster;

} // namespace cornellever::config
