#pragma once

#include "tamarackcove/Base/Time.h"

#include <array>
#include <cstdint>

namespace tamarackcove {

/// This entry's share of a retry budget that all entries have in common: over any window, at most a share of the
/// requests plus a fixed number of them may be sent once more. The entries do not talk for each request; each keeps to
/// its own requests and to its part of the fixed number.
///
/// Thread safety: used on one thread.
class RetryWindow
{
public:
    struct Options
    {
        double ratio = 0.2;
        /// Over all entries.
        double slack = 0;
        milliseconds window{10000};
    };

    explicit RetryWindow(Options options);

    /// How many entries share the fixed number. Precondition: at least one.
    void setEntries(std::size_t entries);
    void noteRequest(TimePoint now);
    /// Takes one retry out of the budget. Returns whether there was one.
    [[nodiscard]] bool take(TimePoint now);
    [[nodiscard]] double left(TimePoint now);

private:
    static constexpr std::size_t Buckets = 20;
    struct Bucket
    {
        std::int64_t number = -1;
        double requests = 0;
        double retries = 0;
    };

    [[nodiscard]] Bucket &bucket(TimePoint now);

    Options m_options;
    std::size_t m_entries = 1;
    std::array<Bucket, Buckets> m_buckets{};
};

} // namespace tamarackcove
