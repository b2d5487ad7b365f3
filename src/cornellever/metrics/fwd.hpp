#pragma once

namespace cornellever::metrics {

class latency;

} // namespace cornellever::metrics
