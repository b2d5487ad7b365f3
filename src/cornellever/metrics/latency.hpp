#pragma once

#include <chrono>
#include <cstdint>

#include <boost/histogram.hpp>
#include <jsoncpp/json/value.h>

namespace cornellever::metrics {

/// A latency histogram (Boost.Histogram) with a logarithmic axis from 10 us to
/// 100 s. Quantiles are accurate to one bin (about 12 %).
class latency {
public:
    latency();

    void record(std::chrono::nanoseconds elapsed);

    /// The number of recorded observations.
    [[nodiscard]] std::uint64_t count() const noexcept { return m_count; }

    /// Returns the upper edge of the bin that contains quantile `q` (0 to 1), in
    /// microseconds. The result is at most the recorded maximum, and 0 when the
    /// histogram is empty.
    [[nodiscard]] double quantile_us(double q) const;

    /// Returns the count and, in microseconds, p50, p90, p99 and the maximum, as
    /// JSON for state dumps and reports.
    [[nodiscard]] Json::Value describe() const;

    /// Adds the observations of `other`.
    void merge(const latency& other);

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using histogram = boost::histogram::histogram<std::tuple<axis>>;

    histogram m_histogram;
    std::uint64_t m_count{0};
    double m_max_us{0};
};

} // namespace cornellever::metrics
