#pragma once

#include "tamarackcove/Base/Time.h"

#include <array>
#include <cstdint>

namespace tamarackcove {

/// This entry's part of a retry budget that all entries share: in any sliding window, the number of retries is at most
/// a ratio of the requests plus a fixed slack. The entries do not coordinate for each retry: each one counts its own
/// requests and uses its equal part of the slack.
///
/// Thread safety: used on one thread.
class RetryWindow
{
public:
    struct Options
    {
        /// Retries allowed for each request.
        double ratio = 0.2;
        /// Retries allowed in a window in addition to those of the ratio, over all entries together.
        double slack = 0;
        /// Length of the sliding window.
        milliseconds window{10000};
    };

    explicit RetryWindow(Options options);

    /// Sets how many entries share the slack. Precondition: at least one.
    void setEntries(std::size_t entries);
    /// Counts a request; each retry of the request is counted by takeRetry() instead.
    void noteRequest(TimePoint now);
    /// Uses one retry of the budget. Returns false if none is left.
    [[nodiscard]] bool takeRetry(TimePoint now);
    /// The retries that are left in the budget; negative when the budget has become smaller than the retries in the
    /// window.
    [[nodiscard]] double remaining(TimePoint now);

private:
    static constexpr std::size_t Buckets = 20;
    /// The counts of one part of the window.
    struct Bucket
    {
        /// Index of the part of the window, counted from the epoch of the clock; -1 for an unused bucket.
        std::int64_t number = -1;
        double requests = 0;
        double retries = 0;
    };

    /// The bucket for the part of the window that contains `now`; its counts are cleared if they belong to an earlier
    /// part.
    [[nodiscard]] Bucket &bucket(TimePoint now);

    Options m_options;
    std::size_t m_entries = 1;
    std::array<Bucket, Buckets> m_buckets{};
};

} // namespace tamarackcove
