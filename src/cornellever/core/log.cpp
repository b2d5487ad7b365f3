#include "cornellever/core/log.hpp"

#include <atomic>
#include <string>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace cornellever {

namespace {

std::atomic<severity> g_minimum{severity::info};

} // namespace

void init_logging(std::string_view role, severity minimum) {
    g_minimum = minimum;
    el::Configurations conf;
    conf.setToDefault();
    conf.setGlobally(el::ConfigurationType::Format,
                     "%datetime{%Y-%M-%dT%H:%m:%s.%g} " + std::string{role} + " %level %msg");
    conf.setGlobally(el::ConfigurationType::ToFile, "false");
    conf.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(conf);
    el::Loggers::addFlag(el::LoggingFlag::ColoredTerminalOutput);
    el::Loggers::removeFlag(el::LoggingFlag::ColoredTerminalOutput);
}

void set_log_level(severity minimum) {
    g_minimum = minimum;
}

bool parse_severity(std::string_view text, severity& out) {
    if (text == "debug") {
        out = severity::debug;
    } else if (text == "info") {
        out = severity::info;
    } else if (text == "warning") {
        out = severity::warning;
    } else if (text == "error") {
        out = severity::error;
    } else {
        return false;
    }
    return true;
}

void log_event(event id, std::string_view fields) {
    const auto& info = describe(id);
    if (info.level < g_minimum.load()) {
        return;
    }
    const auto line = "CL" + std::to_string(static_cast<unsigned>(id)) + " " + std::string{info.name} +
                      (fields.empty() ? "" : " ") + std::string{fields};
    switch (info.level) {
    case severity::debug:
        LOG(DEBUG) << line;
        break;
    case severity::info:
        LOG(INFO) << line;
        break;
    case severity::warning:
        LOG(WARNING) << line;
        break;
    case severity::error:
        LOG(ERROR) << line;
        break;
    }
}

} // namespace cornellever
