#include "tamarackcove/Observe/LogLine.h"

#include "BoundedSink.h"
#include "tamarackcove/Observe/FinalLine.h"

#include <cassert>
#include <fmt/format.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace tamarackcove {

static spdlog::level::level_enum toSpdlog(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return spdlog::level::debug;
    case LogLevel::Info:
        return spdlog::level::info;
    case LogLevel::Warning:
        return spdlog::level::warn;
    case LogLevel::Error:
        return spdlog::level::err;
    case LogLevel::Critical:
        return spdlog::level::critical;
    }
    return spdlog::level::info;
}

static bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\n\r\t\\") != std::string_view::npos;
}

static void appendQuoted(std::string &line, std::string_view value)
{
    line += '"';
    for (const char c : value) {
        switch (c) {
        case '"':
        case '\\':
            line += '\\';
            line += c;
            break;
        case '\n':
            line += "\\n";
            break;
        case '\r':
            line += "\\r";
            break;
        default:
            line += c;
        }
    }
    line += '"';
}

LogLine::LogLine(LogLevel level, std::string_view event)
    : m_level(level)
{
    m_line += "event=";
    m_line += event;
}

LogLine::~LogLine()
{
    spdlog::default_logger_raw()->log(toSpdlog(m_level), spdlog::string_view_t(m_line.data(), m_line.size()));
}

LogLine &LogLine::add(std::string_view key, std::string_view value)
{
    assert(key.find(' ') == std::string_view::npos && "a log key must be one word");
    m_line += ' ';
    m_line += key;
    m_line += '=';
    if (needsQuotes(value)) {
        appendQuoted(m_line, value);
    } else {
        m_line += value;
    }
    return *this;
}

LogLine &LogLine::add(std::string_view key, std::int64_t value)
{
    return add(key, std::string_view(std::to_string(value)));
}

LogLine &LogLine::add(std::string_view key, std::uint64_t value)
{
    return add(key, std::string_view(std::to_string(value)));
}

LogLine &LogLine::add(std::string_view key, int value)
{
    return add(key, static_cast<std::int64_t>(value));
}

LogLine &LogLine::add(std::string_view key, double value)
{
    return add(key, std::string_view(fmt::format("{:.3f}", value)));
}

LogLine &LogLine::add(std::string_view key, std::chrono::milliseconds value)
{
    return add(key, static_cast<std::int64_t>(value.count()));
}

static void useLogger(std::shared_ptr<spdlog::logger> logger, LogLevel lowestLevel)
{
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e%z level=%l process=%n %v");
    logger->set_level(toSpdlog(lowestLevel));
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(std::move(logger));
}

void initLogging(std::string_view process, LogLevel lowestLevel)
{
    useLogger(spdlog::stderr_logger_st(std::string(process)), lowestLevel);
    reportProcessEnd(process, STDERR_FILENO);
}

void initServiceLogging(std::string_view process, LogLevel lowestLevel)
{
    auto sink = std::make_shared<BoundedSink>(STDOUT_FILENO, BoundedSink::Limits{});
    useLogger(std::make_shared<spdlog::logger>(std::string(process), std::move(sink)), lowestLevel);
    reportProcessEnd(process, STDOUT_FILENO);
}

} // namespace tamarackcove
