#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace tamarackcove {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// One event as one line of key=value pairs. The line is written when the object is destroyed:
/// `LogLine(LogLevel::Info, "target_joined").add("target", id);`
///
/// Thread safety: one object belongs to one thread; lines of several threads do not mix.
class LogLine
{
public:
    LogLine(LogLevel level, std::string_view event);
    ~LogLine();
    LogLine(const LogLine &) = delete;
    LogLine &operator=(const LogLine &) = delete;

    /// Adds a pair. A value with a space, a quote or a line break is quoted and escaped.
    /// Precondition: the key is one word.
    LogLine &add(std::string_view key, std::string_view value);
    LogLine &add(std::string_view key, std::int64_t value);
    LogLine &add(std::string_view key, std::uint64_t value);
    LogLine &add(std::string_view key, int value);
    LogLine &add(std::string_view key, double value);
    /// Writes whole milliseconds; the key says so with its ending `_ms`.
    LogLine &add(std::string_view key, std::chrono::milliseconds value);

private:
    LogLevel m_level;
    std::string m_line;
};

/// Sets up logging to standard error for this process. Call once, before the first line.
void initLogging(std::string_view process, LogLevel lowestLevel);

/// Sets up logging to standard output for a process that serves: lines are bounded in volume and never wait for the
/// reader; what is left out is counted in a line of its own. Call once, before the first line.
void initServiceLogging(std::string_view process, LogLevel lowestLevel);

} // namespace tamarackcove
