#pragma once

namespace cornellever {

enum class errc;
struct error;

} // namespace cornellever
