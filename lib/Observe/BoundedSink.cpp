#include "BoundedSink.h"

#include <algorithm>
#include <fmt/format.h>
#include <poll.h>
#include <string>
#include <unistd.h>

namespace tamarackcove {

/// A pipe that can take anything takes this much without waiting (PIPE_BUF); longer lines are cut.
static constexpr std::size_t MaxLineBytes = 4096;

BoundedSink::BoundedSink(int file, Limits limits)
    : m_file(file)
    , m_limits(limits)
    , m_budget(limits.burstBytes)
    , m_refilled(Clock::now())
{
}

std::uint64_t BoundedSink::dropped() const
{
    return m_dropped;
}

bool BoundedSink::writable() const
{
    pollfd state{.fd = m_file, .events = POLLOUT, .revents = 0};
    return ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

bool BoundedSink::writeLine(std::string_view line)
{
    if (static_cast<double>(line.size()) > m_budget || !writable()) {
        return false;
    }
    m_budget -= static_cast<double>(line.size());
    return ::write(m_file, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

void BoundedSink::noteDropped(std::string_view message)
{
    constexpr std::string_view Key = "event=";
    std::string_view event = "other";
    if (message.substr(0, Key.size()) == Key) {
        event = message.substr(Key.size(), message.find(' ') - Key.size());
    }
    ++m_dropped;
    const auto found = m_unreported.find(event);
    if (found != m_unreported.end()) {
        ++found->second;
    } else {
        m_unreported.emplace(event, 1);
    }
}

void BoundedSink::reportDropped()
{
    std::uint64_t lines = 0;
    std::string byEvent;
    for (const auto &[event, count] : m_unreported) {
        lines += count;
        byEvent += fmt::format("{}{}:{}", byEvent.empty() ? "" : ",", event, count);
    }
    const auto line = fmt::format("level=warning event=log_lines_dropped lines={} since_start={} by_event={}\n", lines,
                                  m_dropped, byEvent);
    if (writeLine(line)) {
        m_unreported.clear();
    }
}

void BoundedSink::sink_it_(const spdlog::details::log_msg &message)
{
    const auto now = Clock::now();
    const std::chrono::duration<double> passed = now - m_refilled;
    m_refilled = now;
    m_budget = std::min(m_limits.burstBytes, m_budget + passed.count() * m_limits.bytesPerSecond);
    spdlog::memory_buf_t formatted;
    formatter_->format(message, formatted);
    std::string_view line(formatted.data(), formatted.size());
    std::string cut;
    if (line.size() > MaxLineBytes) {
        cut = std::string(line.substr(0, MaxLineBytes - 1)) + '\n';
        line = cut;
    }
    if (!m_unreported.empty()) {
        reportDropped();
    }
    if (!writeLine(line)) {
        noteDropped({message.payload.data(), message.payload.size()});
    }
}

void BoundedSink::flush_()
{
}

} // namespace tamarackcove
