#pragma once

#include <chrono>
#include <cstdint>

#include <boost/histogram.hpp>
#include <jsoncpp/json/value.h>

namespace cornellever::metrics {

/// A latency histogram (Boost.Histogram) on a log axis from 10 us to 100 s.
/// Quantiles are read off the bins, so they are exact to one bin (~12 %).
class latency {
public:
    latency();

    /// Counts one observation.
    void record(std::chrono::nanoseconds elapsed);

    /// Observations counted.
    [[nodiscard]] std::uint64_t count() const noexcept { return m_count; }

    /// The upper edge of the bin holding quantile `q` (0 to 1), in microseconds; 0 when empty.
    [[nodiscard]] double quantile_us(double q) const;

    /// Count, p50, p90, p99 and max, in microseconds, for dumps and reports.
    [[nodiscard]] Json::Value describe() const;

    /// Adds another histogram's counts to this one.
    void merge(const latency& other);

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using histogram = boost::histogram::histogram<std::tuple<axis>>;

    histogram m_histogram;
    std::uint64_t m_count{0};
    double m_max_us{0};
};

} // namespace cornellever::metrics
