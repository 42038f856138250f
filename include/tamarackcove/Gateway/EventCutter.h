#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace tamarackcove {

/// Cuts the bytes of an event stream at the borders of events, so that only whole events are passed on and a stream
/// that breaks off can go on after the last one.
///
/// Thread safety: used on one thread.
class EventCutter
{
public:
    /// Takes bytes and returns the whole events among what has arrived.
    [[nodiscard]] std::string take(std::string_view bytes);
    /// What has arrived of an event that is not whole.
    [[nodiscard]] const std::string &rest() const;
    void discardRest();
    /// The id of the last whole event.
    [[nodiscard]] const std::optional<std::string> &lastId() const;

private:
    void noteIds(std::string_view events);

    std::string m_rest;
    std::optional<std::string> m_lastId;
};

} // namespace tamarackcove
