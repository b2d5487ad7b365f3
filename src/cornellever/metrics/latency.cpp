#include "cornellever/metrics/latency.hpp"

#include <algorithm>

namespace cornellever::metrics {

namespace {

constexpr unsigned bins = 140;
constexpr double lowest_us = 10.0;
constexpr double highest_us = 100'000'000.0;

} // namespace

latency::latency() : m_histogram{boost::histogram::make_histogram(axis{bins, lowest_us, highest_us})} {}

void latency::record(std::chrono::nanoseconds elapsed) {
    const double micros = static_cast<double>(elapsed.count()) / 1000.0;
    m_histogram(micros);
    ++m_count;
    m_max_us = std::max(m_max_us, micros);
}

double latency::quantile_us(double q) const {
    if (m_count == 0) {
        return 0.0;
    }
    const double target_count = q * static_cast<double>(m_count);
    double cumulative = 0.0;
    for (auto&& cell : boost::histogram::indexed(m_histogram, boost::histogram::coverage::all)) {
        cumulative += *cell;
        if (cumulative >= target_count && *cell > 0) {
            return std::min(cell.bin().upper(), m_max_us);
        }
    }
    return m_max_us;
}

Json::Value latency::describe() const {
    Json::Value out;
    out["count"] = static_cast<Json::UInt64>(m_count);
    out["p50_us"] = quantile_us(0.50);
    out["p90_us"] = quantile_us(0.90);
    out["p99_us"] = quantile_us(0.99);
    out["max_us"] = m_max_us;
    return out;
}

void latency::merge(const latency& other) {
    m_histogram += other.m_histogram;
    m_count += other.m_count;
    m_max_us = std::max(m_max_us, other.m_max_us);
}

} // namespace cornellever::metrics
