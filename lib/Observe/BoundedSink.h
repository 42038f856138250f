#pragma once

#include "tamarackcove/Base/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <string>
#include <string_view>

namespace tamarackcove {

/// Writes log lines to a file descriptor without blocking on its reader, at a limited rate in bytes per second. Lines
/// that exceed the rate or that the descriptor cannot accept are dropped and counted by event; the counts are written
/// as a line of their own as soon as a line can be written again. A line of level critical, after which the process
/// ends, is exempt from the rate and waits up to FinalLineTimeout for the reader.
///
/// Thread safety: used on one thread.
class BoundedSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    struct Limits
    {
        double bytesPerSecond = 128.0 * 1024;
        /// The size of the token bucket: the bytes that may be written in one burst.
        double burstBytes = 512.0 * 1024;
    };

    BoundedSink(int descriptor, Limits limits);
    /// The number of lines dropped since the start.
    [[nodiscard]] std::uint64_t dropped() const;

protected:
    void sink_it_(const spdlog::details::log_msg &message) override;
    void flush_() override;

private:
    /// Returns false when the line exceeds the remaining budget or was not written whole.
    [[nodiscard]] bool writeLine(std::string_view line);
    void countDropped(std::string_view message);
    void reportDropped();

    int m_descriptor;
    Limits m_limits;
    /// The bytes that may be written now.
    double m_budgetBytes;
    TimePoint m_lastRefill;
    std::uint64_t m_dropped = 0;
    /// The number of lines dropped since the counts were last written, by event.
    std::map<std::string, std::uint64_t, std::less<>> m_unreportedDrops;
};

} // namespace tamarackcove
