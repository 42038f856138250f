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

/// Writes log lines to a file descriptor without ever waiting for its reader, and at most so many bytes a second. Lines
/// that do not fit are dropped and counted; the count is written once lines fit again.
///
/// Thread safety: used on one thread.
class BoundedSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    struct Limits
    {
        double bytesPerSecond = 128.0 * 1024;
        /// What may be written at once after a quiet time.
        double burstBytes = 512.0 * 1024;
    };

    BoundedSink(int file, Limits limits);
    [[nodiscard]] std::uint64_t dropped() const;

protected:
    void sink_it_(const spdlog::details::log_msg &message) override;
    void flush_() override;

private:
    [[nodiscard]] bool writable() const;
    [[nodiscard]] bool writeLine(std::string_view line);
    void noteDropped(std::string_view message);
    void reportDropped();

    int m_file;
    Limits m_limits;
    double m_budget;
    TimePoint m_refilled;
    std::uint64_t m_dropped = 0;
    /// Lines dropped since the last report, by event.
    std::map<std::string, std::uint64_t, std::less<>> m_unreported;
};

} // namespace tamarackcove
