#include "tamarackcove/Observe/TraceContext.h"

#include <algorithm>
#include <cctype>
#include <fmt/format.h>
#include <random>

namespace tamarackcove {

static constexpr std::size_t TraceIdDigits = 32;
static constexpr std::size_t SpanIdDigits = 16;
static constexpr std::size_t HeaderLength = 55;

static std::uint64_t randomNonZero()
{
    thread_local std::mt19937_64 generator(std::random_device{}());
    // W3C Trace Context defines an id of all zeros as invalid.
    return std::uniform_int_distribution<std::uint64_t>(1)(generator);
}

static std::string newSpanId()
{
    return fmt::format("{:016x}", randomNonZero());
}

static bool isLowerHex(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](unsigned char c) { return std::isdigit(c) != 0 || (c >= 'a' && c <= 'f'); })
        && text.find_first_not_of('0') != std::string_view::npos;
}

TraceContext TraceContext::create()
{
    return {.traceId = newSpanId() + newSpanId(), .spanId = newSpanId()};
}

std::optional<TraceContext> TraceContext::parse(std::string_view header)
{
    if (header.size() != HeaderLength || header.substr(0, 3) != "00-" || header[35] != '-' || header[52] != '-') {
        return std::nullopt;
    }
    const auto traceId = header.substr(3, TraceIdDigits);
    const auto spanId = header.substr(36, SpanIdDigits);
    if (!isLowerHex(traceId) || !isLowerHex(spanId)) {
        return std::nullopt;
    }
    return TraceContext{.traceId = std::string(traceId), .spanId = std::string(spanId)};
}

TraceContext TraceContext::child() const
{
    return {.traceId = traceId, .spanId = newSpanId()};
}

std::string TraceContext::header() const
{
    return "00-" + traceId + '-' + spanId + "-01";
}

} // namespace tamarackcove
