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

/// Writes metrics as text in the usual exposition format: a HELP and a TYPE
/// line a name, then a line a series.
class exposition {
public:
    void counter(std::string_view name, std::string_view help, std::uint64_t value, const labels& of = {});
    void gauge(std::string_view name, std::string_view help, double value, const labels& of = {});

    /// Quantiles 0.5, 0.9 and 0.99 and the count of a latency histogram.
    void summary(std::string_view name, std::string_view help, const latency& value);

    [[nodiscard]] std::string text() const { return m_out.str(); }

private:
    void head(std::string_view name, std::string_view help, std::string_view type);
    void series(std::string_view name, const labels& of, double value);

    std::ostringstream m_out;
    std::set<std::string, std::less<>> m_named;
};

} // namespace cornellever::metrics
