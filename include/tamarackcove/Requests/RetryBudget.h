#pragma once

#include "tamarackcove/Base/Time.h"

#include <cstdint>
#include <random>

namespace tamarackcove {

/// Limits retries to a part of the requests, so that retries do not add to an overload, and spreads them in time.
///
/// Thread safety: used on one thread.
class RetryBudget
{
public:
    struct Options
    {
        /// Retries allowed per request.
        double ratio = 0.1;
        /// Retries that may be saved up; lets an entry with few requests retry at all, and bounds a burst.
        double reserve = 20.0;
        milliseconds firstBackoff = milliseconds(10);
        milliseconds maxBackoff = milliseconds(500);
        std::uint64_t seed = 1;
    };

    explicit RetryBudget(Options options);

    void noteRequest();
    /// Takes one retry out of the budget. Returns whether there was one.
    [[nodiscard]] bool take();
    /// Time before the retry of this number, counted from 1: between half and all of the doubled base.
    [[nodiscard]] milliseconds backoff(int retry);

private:
    Options m_options;
    double m_available;
    std::mt19937_64 m_random;
};

} // namespace tamarackcove
