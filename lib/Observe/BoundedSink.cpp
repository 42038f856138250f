#include "BoundedSink.h"

#include "DescriptorWriter.h"

#include <algorithm>
#include <fmt/format.h>
#include <string>

namespace tamarackcove {

/// PIPE_BUF on Linux: a pipe that poll() reports as writable accepts this many bytes without blocking. Longer lines are
/// truncated.
static constexpr std::size_t MaxLineBytes = 4096;

BoundedSink::BoundedSink(int descriptor, Limits limits)
    : m_descriptor(descriptor)
    , m_limits(limits)
    , m_budgetBytes(limits.burstBytes)
    , m_lastRefill(Clock::now())
{
}

std::uint64_t BoundedSink::dropped() const
{
    return m_dropped;
}

bool BoundedSink::writeLine(std::string_view line)
{
    if (static_cast<double>(line.size()) > m_budgetBytes || !writeWithin(m_descriptor, line, milliseconds(0))) {
        return false;
    }
    m_budgetBytes -= static_cast<double>(line.size());
    return true;
}

void BoundedSink::countDropped(std::string_view message)
{
    constexpr std::string_view Key = "event=";
    std::string_view event = "other";
    if (message.substr(0, Key.size()) == Key) {
        event = message.substr(Key.size(), message.find(' ') - Key.size());
    }
    ++m_dropped;
    const auto found = m_unreportedDrops.find(event);
    if (found != m_unreportedDrops.end()) {
        ++found->second;
    } else {
        m_unreportedDrops.emplace(event, 1);
    }
}

void BoundedSink::reportDropped()
{
    std::uint64_t lines = 0;
    std::string byEvent;
    for (const auto &[event, count] : m_unreportedDrops) {
        lines += count;
        byEvent += fmt::format("{}{}:{}", byEvent.empty() ? "" : ",", event, count);
    }
    const auto line = fmt::format("level=warning event=log_lines_dropped lines={} since_start={} by_event={}\n", lines,
                                  m_dropped, byEvent);
    if (writeLine(line)) {
        m_unreportedDrops.clear();
    }
}

void BoundedSink::sink_it_(const spdlog::details::log_msg &message)
{
    const auto now = Clock::now();
    const std::chrono::duration<double> elapsed = now - m_lastRefill;
    m_lastRefill = now;
    m_budgetBytes = std::min(m_limits.burstBytes, m_budgetBytes + elapsed.count() * m_limits.bytesPerSecond);
    spdlog::memory_buf_t formatted;
    formatter_->format(message, formatted);
    std::string_view line(formatted.data(), formatted.size());
    std::string truncated;
    if (line.size() > MaxLineBytes) {
        truncated = std::string(line.substr(0, MaxLineBytes - 1)) + '\n';
        line = truncated;
    }
    if (!m_unreportedDrops.empty()) {
        reportDropped();
    }
    const bool isFinal = message.level >= spdlog::level::critical;
    const bool written = isFinal ? writeWithin(m_descriptor, line, FinalLineTimeout) : writeLine(line);
    if (!written) {
        countDropped({message.payload.data(), message.payload.size()});
    }
}

void BoundedSink::flush_()
{
}

} // namespace tamarackcove
