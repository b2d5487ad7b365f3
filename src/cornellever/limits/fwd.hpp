#pragma once

namespace cornellever::limits {

class limit_coordinator;
class token_bucket;
class udp_grant_channel;
struct grant_response;
struct grant_request;
struct limit_bound;
struct limit_share;

} // namespace cornellever::limits
