#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace tamarackcove {

/// The W3C trace context of one hop of a request, as carried in the `traceparent` header.
///
/// Thread safety: a value type.
struct TraceContext
{
    /// 32 hex digits.
    std::string traceId;
    /// 16 hex digits: the span of this hop, which is the parent of the next hop's span.
    std::string spanId;

    /// A new trace with a new root span id.
    [[nodiscard]] static TraceContext create();
    /// Parses a `traceparent` value; returns nothing when it is malformed or its version is not 00.
    [[nodiscard]] static std::optional<TraceContext> parse(std::string_view header);
    /// A context of the same trace with a new span id.
    [[nodiscard]] TraceContext child() const;
    /// The `traceparent` value for the next hop, with the sampled flag set.
    [[nodiscard]] std::string header() const;
};

} // namespace tamarackcove
