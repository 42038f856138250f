#pragma once

#include "tamarackcove/Base/Time.h"

#include <chrono>
#include <istream>
#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace tamarackcove {

/// Collects the log lines of several processes that concern one request: the lines that name the request, and, from a
/// few seconds before its first line until its last one, lines about its adapter, about the servers it was sent to, and
/// about state changes of its entry and of the control hosts. Lines are sorted by their timestamps, so their order is
/// only as accurate as the clocks of the hosts.
///
/// Thread safety: used on one thread.
class RequestExplanation
{
public:
    explicit RequestExplanation(std::string request);

    /// Reads one log. Lines without a timestamp are skipped. `source` names the log in the output, unless a line names
    /// its host in a prefix.
    void read(const std::string &source, std::istream &log);
    /// Writes the related lines, the outcome and its cause. Returns false, and writes nothing, when no line names the
    /// request.
    [[nodiscard]] bool write(std::ostream &out) const;

private:
    using WallTime = std::chrono::sys_time<milliseconds>;
    struct Line
    {
        WallTime time;
        std::string source;
        /// The line without its prefix and timestamp.
        std::string text;
        std::map<std::string, std::string> fields;

        /// The value of a field; empty when the line has no such field.
        [[nodiscard]] std::string field(const std::string &key) const;
    };

    /// Returns false when the line has no valid timestamp.
    [[nodiscard]] static bool parse(const std::string &text, Line &line);
    /// The lines to write, sorted by time; empty when no line names the request.
    [[nodiscard]] std::vector<const Line *> relatedLines() const;

    std::string m_request;
    std::vector<Line> m_lines;
};

} // namespace tamarackcove
