#include "cornellever/metrics/exposition.hpp"

#include <array>

namespace cornellever::metrics {

void exposition::head(std::string_view name, std::string_view help, std::string_view type) {
    if (m_named.emplace(name).second) {
        m_out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << ' ' << type << '\n';
    }
}

void exposition::series(std::string_view name, const labels& of, double value) {
    m_out << name;
    const char* before = "{";
    for (const auto& [key, text] : of) {
        m_out << before << key << "=\"" << text << '"';
        before = ",";
    }
    m_out << (of.empty() ? " " : "} ") << value << '\n';
}

void exposition::counter(std::string_view name, std::string_view help, std::uint64_t value, const labels& of) {
    head(name, help, "counter");
    series(name, of, static_cast<double>(value));
}

void exposition::gauge(std::string_view name, std::string_view help, double value, const labels& of) {
    head(name, help, "gauge");
    series(name, of, value);
}

void exposition::summary(std::string_view name, std::string_view help, const latency& value) {
    constexpr std::array quantiles{0.5, 0.9, 0.99};
    head(name, help, "summary");
    for (const auto q : quantiles) {
        std::ostringstream text;
        text << q;
        series(name, {{"quantile", text.str()}}, value.quantile_us(q));
    }
    series(std::string{name} + "_count", {}, static_cast<double>(value.count()));
}

} // namespace cornellever::metrics
