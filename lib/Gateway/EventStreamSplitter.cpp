#include "tamarackcove/Gateway/EventStreamSplitter.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <utility>

namespace tamarackcove {

/// The position of the last occurrence that begins at `begin` or later.
static std::size_t findLast(std::string_view text, std::string_view part, std::size_t begin)
{
    const auto found = text.substr(begin).rfind(part);
    return found == std::string_view::npos ? std::string::npos : begin + found;
}

std::string EventStreamSplitter::consume(std::string_view bytes)
{
    // A boundary that the new bytes complete begins at most two bytes before them. The bytes before have none, so that
    // an event that arrives in many reads is not searched as a whole after each.
    const std::size_t searchBegin = m_incompleteEvent.size() - std::min<std::size_t>(m_incompleteEvent.size(), 2);
    m_incompleteEvent += bytes;
    const auto lfBoundary = findLast(m_incompleteEvent, "\n\n", searchBegin);
    const auto crlfBoundary = findLast(m_incompleteEvent, "\n\r\n", searchBegin);
    std::size_t end = 0;
    if (lfBoundary != std::string::npos) {
        end = lfBoundary + 2;
    }
    if (crlfBoundary != std::string::npos && crlfBoundary + 3 > end) {
        end = crlfBoundary + 3;
    }
    if (end == 0) {
        return {};
    }
    auto events = m_incompleteEvent.substr(0, end);
    m_incompleteEvent.erase(0, end);
    noteIds(events);
    return events;
}

/// Whether an event with the id comes after one with the earlier id. Ids that are not both numbers have no order, so
/// that only equal ones are known not to.
static bool isAfter(std::string_view id, std::string_view earlier)
{
    std::uint64_t value = 0;
    std::uint64_t earlierValue = 0;
    const auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), value);
    const auto [earlierEnd, earlierError]
        = std::from_chars(earlier.data(), earlier.data() + earlier.size(), earlierValue);
    const bool numbers = error == std::errc() && end == id.data() + id.size() && earlierError == std::errc()
        && earlierEnd == earlier.data() + earlier.size();
    return numbers ? value > earlierValue : id != earlier;
}

void EventStreamSplitter::beginRun()
{
    m_resumedAfter = m_lastId;
    m_repeatsEvents = false;
}

bool EventStreamSplitter::repeatsEvents() const
{
    return m_repeatsEvents;
}

void EventStreamSplitter::noteIds(std::string_view events)
{
    std::size_t begin = 0;
    while (begin < events.size()) {
        auto end = events.find('\n', begin);
        if (end == std::string_view::npos) {
            end = events.size();
        }
        auto line = events.substr(begin, end - begin);
        begin = end + 1;
        if (!line.starts_with("id:")) {
            continue;
        }
        line.remove_prefix(3);
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (m_resumedAfter && !isAfter(line, *std::exchange(m_resumedAfter, std::nullopt))) {
            m_repeatsEvents = true;
        }
        if (m_repeatsEvents) {
            continue;
        }
        m_lastId = std::string(line);
    }
}

const std::string &EventStreamSplitter::incompleteEvent() const
{
    return m_incompleteEvent;
}

void EventStreamSplitter::discardIncompleteEvent()
{
    m_incompleteEvent.clear();
}

const std::optional<std::string> &EventStreamSplitter::lastId() const
{
    return m_lastId;
}

} // namespace tamarackcove
