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
    /// The reason why this process is about to end. The limits of a service process do not apply to such a line.
    Critical,
};

/// Builds one log line of key=value pairs for one event. The destructor writes the line:
/// `LogLine(LogLevel::Info, "target_joined").add("target", id);`
///
/// Thread safety: an object is used on one thread; lines of different threads are not interleaved.
class LogLine
{
public:
    LogLine(LogLevel level, std::string_view event);
    ~LogLine();
    LogLine(const LogLine &) = delete;
    LogLine &operator=(const LogLine &) = delete;

    /// Adds a key=value pair. A value that is empty or contains white space, a quote, an equals sign or a backslash is
    /// quoted; quotes, backslashes and line breaks in it are escaped.
    /// Precondition: the key is one word.
    LogLine &add(std::string_view key, std::string_view value);
    LogLine &add(std::string_view key, std::int64_t value);
    LogLine &add(std::string_view key, std::uint64_t value);
    LogLine &add(std::string_view key, int value);
    LogLine &add(std::string_view key, double value);
    /// Adds a duration in whole milliseconds. Precondition: the key ends in `_ms`.
    LogLine &add(std::string_view key, std::chrono::milliseconds value);

private:
    LogLevel m_level;
    std::string m_line;
};

/// Sets up logging to standard error for this process and calls reportProcessEnd(). Precondition: no line has been
/// written yet.
void initLogging(std::string_view process, LogLevel lowestLevel);

/// Sets up logging to standard output for a long-running service process. The volume of lines is limited, and writing
/// never blocks on a slow reader, except for a bounded time for a Critical line. Lines that cannot be written are
/// dropped, and `log_lines_dropped` lines report how many. Also calls reportProcessEnd(). Precondition: no line has
/// been written yet.
void initServiceLogging(std::string_view process, LogLevel lowestLevel);

} // namespace tamarackcove
