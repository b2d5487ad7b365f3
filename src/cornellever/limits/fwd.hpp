#pragma once

namespace cornellever::limits {

class grant_desk;
class token_bucket;
class udp_grants;
struct grant_answer;
struct grant_question;
struct limit_bound;
struct limit_share;

} // namespace cornellever::limits
