#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace tamarackcove {

/// The W3C `traceparent` of one hop.
///
/// Thread safety: a value type.
struct TraceContext
{
    /// 32 hex digits.
    std::string traceId;
    /// 16 hex digits: the span that the next hop's span is a child of.
    std::string spanId;

    /// A new trace with a new root span id.
    [[nodiscard]] static TraceContext create();
    /// Parses a header value; nothing when it is not of version 00 or malformed.
    [[nodiscard]] static std::optional<TraceContext> parse(std::string_view header);
    /// The same trace with a new span id.
    [[nodiscard]] TraceContext child() const;
    /// The header value for the next hop.
    [[nodiscard]] std::string header() const;
};

} // namespace tamarackcove
