#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace tamarackcove {

/// One server-sent event of a completion stream.
struct StreamEvent
{
    /// The whole event with the empty line at its end.
    std::string_view raw;
    /// The offset of the token in the stream; empty if the event carries no token.
    std::optional<std::uint64_t> offset;
    /// Whether the event carries the last token of the stream.
    bool lastToken = false;
    /// Whether the event is `data: [DONE]`.
    bool doneMarker = false;
    /// Whether the peer sent an error instead of a token.
    bool peerError = false;
};

/// Splits a completion stream into events and extracts only the fields that the relay needs, because a full JSON parse
/// of each token would cost more than the rest of the relay.
///
/// Thread safety: used on one thread.
class EventScanner
{
public:
    /// Calls `onEvent` for each event that is now complete; its views are valid only during that call. `onEvent`
    /// returns false to stop the scan. Returns false if `onEvent` did, or if an incomplete event exceeds the size
    /// limit.
    [[nodiscard]] bool feed(std::string_view bytes, const std::function<bool(const StreamEvent &)> &onEvent);
    /// Discards an incomplete event.
    void reset();

    /// Extracts the fields of one complete event.
    [[nodiscard]] static StreamEvent parseEvent(std::string_view raw);

private:
    std::string m_incomplete;
};

} // namespace tamarackcove
