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
    /// Begins the bytes of a further server, which must go on after the last whole event so far.
    void beginRun();
    /// Whether the present server has sent an event that is not after those of the servers before it, by its id.
    [[nodiscard]] bool repeatsEvents() const;
    /// The id of the last whole event, apart from events that are not to be passed on because repeatsEvents() is true.
    [[nodiscard]] const std::optional<std::string> &lastId() const;

private:
    void noteIds(std::string_view events);

    std::string m_incompleteEvent;
    std::optional<std::string> m_lastId;
    /// The last id when the present server began; nothing once it has sent an event with an id.
    std::optional<std::string> m_resumedAfter;
    bool m_repeatsEvents = false;
};

} // namespace tamarackcove
