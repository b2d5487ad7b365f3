#include "cornellever/metrics/exposition.hpp"

#include <array>

namespace cornellever::metrics {

void exposition::write_header(std::string_view name, std::string_view help, std::string_view type) {
    if (m_described.emplace(name).second) {
        m_out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << ' ' << type << '\n';
    }
}

void exposition::write_sample(std::string_view name, const labels& label_set, double value) {
    m_out << name;
    const char* separator = "{";
    for (const auto& [key, text] : label_set) {
        m_out << separator << key << "=\"" << text << '"';
        separator = ",";
    }
    m_out << (label_set.empty() ? " " : "} ") << value << '\n';
}

void exposition::counter(std::string_view name, std::string_view help, std::uint64_t value, const labels& label_set) {
    write_header(name, help, "counter");
    write_sample(name, label_set, static_cast<double>(value));
}

void exposition::gauge(std::string_view name, std::string_view help, double value, const labels& label_set) {
    write_header(name, help, "gauge");
    write_sample(name, label_set, value);
}

void exposition::summary(std::string_view name, std::string_view help, const latency& value) {
    constexpr std::array quantiles{0.5, 0.9, 0.99};
    write_header(name, help, "summary");
    for (const auto q : quantiles) {
        std::ostringstream text;
        text << q;
        write_sample(name, {{"quantile", text.str()}}, value.quantile_us(q));
    }
    write_sample(std::string{name} + "_count", {}, static_cast<double>(value.count()));
}

} // namespace cornellever::metrics
