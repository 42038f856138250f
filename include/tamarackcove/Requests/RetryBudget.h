#pragma once

#include "tamarackcove/Base/Time.h"

#include <cstdint>
#include <random>

namespace tamarackcove {

/// Limits retries to a fraction of the requests, so that retries do not amplify an overload, and spreads them over time
/// by exponential backoff with jitter.
///
/// Thread safety: used on one thread.
class RetryBudget
{
public:
    struct Options
    {
        /// The number of retries, usually a fraction, that each request adds to the budget.
        double ratio = 0.1;
        /// Initial and maximum size of the budget. Allows retries on an entry with few requests, and bounds a burst of
        /// retries.
        double maxSavedRetries = 20.0;
        milliseconds firstBackoff = milliseconds(10);
        milliseconds maxBackoff = milliseconds(500);
        std::uint64_t seed = 1;
    };

    explicit RetryBudget(Options options);

    /// Adds `ratio` to the budget; to be called for each request.
    void noteRequest();
    /// Takes one retry from the budget. Returns false if the budget is used up.
    [[nodiscard]] bool takeRetry();
    /// Returns a random delay before the retry with this number, counted from 1. The upper bound starts at firstBackoff
    /// and doubles with each retry up to maxBackoff; the lower bound is half of the upper bound.
    [[nodiscard]] milliseconds backoff(int retry);

private:
    Options m_options;
    double m_availableRetries;
    std::mt19937_64 m_random;
};

} // namespace tamarackcove
