#pragma once

#include "tamarackcove/Base/Time.h"

#include <chrono>
#include <istream>
#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace tamarackcove {

/// Gathers from the logs of several processes what tells about one request: its own lines, and in the seconds before
/// and during it the orders for its adapter, changes of the servers it was sent to, and changes of what its entry knew.
/// Lines are put in order of time; the clocks of the machines may differ.
///
/// Thread safety: used on one thread.
class RequestExplanation
{
public:
    explicit RequestExplanation(std::string request);

    /// Reads one log. Lines of another form are skipped.
    void read(const std::string &source, std::istream &log);
    /// Writes the lines and the cause. Returns whether any line names the request.
    [[nodiscard]] bool write(std::ostream &out) const;

private:
    using WallTime = std::chrono::sys_time<milliseconds>;
    struct Line
    {
        WallTime time;
        std::string source;
        /// From the level on.
        std::string text;
        std::map<std::string, std::string> fields;

        [[nodiscard]] std::string field(const std::string &key) const;
    };

    [[nodiscard]] static bool parse(const std::string &text, Line &line);
    [[nodiscard]] std::vector<const Line *> related() const;

    std::string m_request;
    std::vector<Line> m_lines;
};

} // namespace tamarackcove
