#include "tamarackcove/Gateway/EventCutter.h"

namespace tamarackcove {

std::string EventCutter::take(std::string_view bytes)
{
    m_rest += bytes;
    const auto border = m_rest.rfind("\n\n");
    const auto borderWithReturns = m_rest.rfind("\n\r\n");
    std::size_t end = 0;
    if (border != std::string::npos) {
        end = border + 2;
    }
    if (borderWithReturns != std::string::npos && borderWithReturns + 3 > end) {
        end = borderWithReturns + 3;
    }
    if (end == 0) {
        return {};
    }
    auto events = m_rest.substr(0, end);
    m_rest.erase(0, end);
    noteIds(events);
    return events;
}

void EventCutter::noteIds(std::string_view events)
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
        m_lastId = std::string(line);
    }
}

const std::string &EventCutter::rest() const
{
    return m_rest;
}

void EventCutter::discardRest()
{
    m_rest.clear();
}

const std::optional<std::string> &EventCutter::lastId() const
{
    return m_lastId;
}

} // namespace tamarackcove
