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
    /// The offset of its token; nothing in an event that carries none.
    std::optional<std::uint64_t> offset;
    /// The last token of the stream.
    bool last = false;
    /// `data: [DONE]`
    bool done = false;
    /// An error of the peer instead of a token.
    bool error = false;
};

/// Cuts the bytes of a completion stream into events, and reads only what the relay needs: a full JSON parse of each
/// token would cost more than the rest of the relay.
///
/// Thread safety: used on one thread.
class EventScanner
{
public:
    /// Calls `onEvent` for each event that is complete now; the views are valid during the call. False stops the scan.
    /// Returns false when an event exceeds the size limit, or when `onEvent` returned false.
    [[nodiscard]] bool feed(std::string_view bytes, const std::function<bool(const StreamEvent &)> &onEvent);
    /// Forgets a partial event.
    void reset();

    [[nodiscard]] static StreamEvent read(std::string_view raw);

private:
    std::string m_partial;
};

} // namespace tamarackcove
