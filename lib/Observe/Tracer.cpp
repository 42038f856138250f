#include "tamarackcove/Observe/Tracer.h"

#include <nlohmann/json.hpp>

namespace tamarackcove {

static std::string unixNanoseconds(std::chrono::system_clock::time_point time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
}

static nlohmann::json attribute(const std::string &key, const std::string &value)
{
    return {{"key", key}, {"value", {{"stringValue", value}}}};
}

Tracer::Tracer(std::string process, const std::string &path)
    : m_process(std::move(process))
{
    if (!path.empty()) {
        m_file.open(path, std::ios::app);
    }
}

bool Tracer::enabled() const
{
    return m_file.is_open();
}

void Tracer::write(const Span &span)
{
    if (!enabled()) {
        return;
    }
    auto attributes = nlohmann::json::array();
    for (const auto &[key, value] : span.attributes) {
        attributes.push_back(attribute(key, value));
    }
    // Codes of the OTLP schema: span kind 2 is SERVER; status code 1 is OK, 2 is ERROR.
    const nlohmann::json spanJson = {{"traceId", span.context.traceId},
                                     {"spanId", span.context.spanId},
                                     {"parentSpanId", span.parentSpanId},
                                     {"name", span.name},
                                     {"kind", 2},
                                     {"startTimeUnixNano", unixNanoseconds(span.start)},
                                     {"endTimeUnixNano", unixNanoseconds(span.end)},
                                     {"attributes", attributes},
                                     {"status", {{"code", span.failed ? 2 : 1}}}};
    const auto resource = nlohmann::json{{"attributes", nlohmann::json::array({attribute("service.name", m_process)})}};
    const auto scopeSpans
        = nlohmann::json{{"scope", {{"name", "tamarackcove"}}}, {"spans", nlohmann::json::array({spanJson})}};
    const nlohmann::json request
        = {{"resourceSpans",
            nlohmann::json::array({{{"resource", resource}, {"scopeSpans", nlohmann::json::array({scopeSpans})}}})}};
    m_file << request.dump() << '\n' << std::flush;
}

} // namespace tamarackcove
