#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace tamarackcove {

/// Splits the bytes of an event stream at event boundaries, so that only whole events are passed on and a stream that
/// breaks off can be resumed after the last whole event.
///
/// Thread safety: used on one thread.
class EventStreamSplitter
{
public:
    /// Appends received bytes to the incomplete event and returns the events that are whole now; empty if there is
    /// none.
    [[nodiscard]] std::string consume(std::string_view bytes);
    /// The received bytes of the event that is not whole yet; empty if there is none.
    [[nodiscard]] const std::string &incompleteEvent() const;
    void discardIncompleteEvent();
    /// The id of the last whole event.
    [[nodiscard]] const std::optional<std::string> &lastId() const;

private:
    void noteIds(std::string_view events);

    std::string m_incompleteEvent;
    std::optional<std::string> m_lastId;
};

} // namespace tamarackcove
