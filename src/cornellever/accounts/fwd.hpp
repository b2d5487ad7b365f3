#pragma once

namespace cornellever::accounts {

struct account;
class configuration_lease;
class directory;
class authorizer;
class key_digest;
struct rate_limit;

} // namespace cornellever::accounts
