#include "tamarackcove/Entry/Targets/EventScanner.h"

#include <algorithm>
#include <charconv>
#include <cstring>

namespace tamarackcove {

// An event holds one token with its metadata; anything larger is not a completion stream.
static constexpr std::size_t MaxEventBytes = 256 * 1024;
static constexpr std::string_view EventDelimiter = "\n\n";

static std::string_view valueAfterKey(std::string_view event, std::string_view quotedKey)
{
    // std::string_view::find() is slow here: it searches for the first byte, a quote, which is frequent in JSON.
    const auto *found
        = static_cast<const char *>(::memmem(event.data(), event.size(), quotedKey.data(), quotedKey.size()));
    if (found == nullptr) {
        return {};
    }
    auto rest = event.substr(static_cast<std::size_t>(found - event.data()) + quotedKey.size());
    rest.remove_prefix(std::min(rest.size(), rest.find_first_not_of(' ')));
    return rest;
}

StreamEvent EventScanner::parseEvent(std::string_view raw)
{
    StreamEvent event;
    event.raw = raw;
    if (raw.starts_with("data: [DONE]") || raw.starts_with("data:[DONE]")) {
        event.doneMarker = true;
        return event;
    }
    // A quote inside a JSON string is escaped, so generated text cannot contain these quoted keys.
    const auto number = valueAfterKey(raw, "\"offset\":");
    std::uint64_t offset = 0;
    if (std::from_chars(number.data(), number.data() + number.size(), offset).ec == std::errc()) {
        event.offset = offset;
        event.lastToken = valueAfterKey(raw, "\"finish_reason\":").starts_with('"');
        return event;
    }
    event.peerError = valueAfterKey(raw, "\"error\":").starts_with('{');
    return event;
}

bool EventScanner::feed(std::string_view bytes, const std::function<bool(const StreamEvent &)> &onEvent)
{
    if (!m_incomplete.empty()) {
        m_incomplete += bytes;
        bytes = m_incomplete;
    }
    std::size_t start = 0;
    while (true) {
        const auto end = bytes.find(EventDelimiter, start);
        if (end == std::string_view::npos) {
            break;
        }
        const auto next = end + EventDelimiter.size();
        if (!onEvent(parseEvent(bytes.substr(start, next - start)))) {
            return false;
        }
        start = next;
    }
    if (m_incomplete.empty()) {
        m_incomplete = bytes.substr(start);
    } else {
        m_incomplete.erase(0, start);
    }
    return m_incomplete.size() <= MaxEventBytes;
}

void EventScanner::reset()
{
    m_incomplete.clear();
}

} // namespace tamarackcove
