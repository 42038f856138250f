#pragma once

#include "tamarackcove/Observe/TraceContext.h"

#include <chrono>
#include <fstream>
#include <map>
#include <string>

namespace tamarackcove {

/// The OTLP span of one hop of a request.
struct Span
{
    std::string name;
    TraceContext context;
    /// Empty for a root span.
    std::string parentSpanId;
    std::chrono::system_clock::time_point start;
    std::chrono::system_clock::time_point end;
    std::map<std::string, std::string> attributes;
    bool failed = false;
};

/// Appends spans to a file as OTLP JSON, one export request a line. Without a file, spans are dropped.
///
/// Thread safety: used on one thread.
class Tracer
{
public:
    /// An empty path disables tracing, and so does a file that cannot be opened.
    Tracer(std::string process, const std::string &path);

    [[nodiscard]] bool enabled() const;
    void write(const Span &span);

private:
    std::string m_process;
    std::ofstream m_file;
};

} // namespace tamarackcove
