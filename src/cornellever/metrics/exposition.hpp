#pragma once

#include <cstdint>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cornellever/metrics/latency.hpp"

namespace cornellever::metrics {

using labels = std::vector<std::pair<std::string, std::string>>;

/// Writes metrics in the Prometheus text exposition format: a HELP and a TYPE
/// line per metric name, then one line per series.
class exposition {
public:
    void counter(std::string_view name, std::string_view help, std::uint64_t value, const labels& label_set = {});
    void gauge(std::string_view name, std::string_view help, double value, const labels& label_set = {});

    /// Writes the quantiles 0.5, 0.9 and 0.99, in microseconds, and the count of
    /// a latency histogram.
    void summary(std::string_view name, std::string_view help, const latency& value);

    [[nodiscard]] std::string text() const { return m_out.str(); }

private:
    /// Writes the HELP and TYPE lines, once per name.
    void write_header(std::string_view name, std::string_view help, std::string_view type);
    void write_sample(std::string_view name, const labels& label_set, double value);

    std::ostringstream m_out;
    std::set<std::string, std::less<>> m_described;
};

} // namespace cornellever::metrics
