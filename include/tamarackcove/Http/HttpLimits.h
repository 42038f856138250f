#pragma once

#include "tamarackcove/Base/Time.h"

#include <cstddef>

namespace tamarackcove {

/// Size and time limits of a server. The settings documentation lists the same defaults.
struct HttpLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 8 * 1024 * 1024;
    std::size_t maxConnections = 4096;
    /// A connection without a request for this long is closed.
    milliseconds idleTimeout = seconds(60);
    /// The time from the first byte of a request to the end of its head.
    milliseconds headerTimeout = seconds(30);
    /// The time from the end of the head of a request to the end of its body.
    milliseconds requestTimeout = seconds(30);
    /// A connection whose caller accepts no bytes of a response for this long is closed.
    milliseconds writeTimeout = seconds(30);
};

/// Limits of a server for probes of readiness and metrics, whose requests have no body.
inline constexpr HttpLimits ProbeLimits{.maxBodyBytes = 4 * 1024,
                                        .idleTimeout = seconds(15),
                                        .headerTimeout = seconds(3),
                                        .requestTimeout = seconds(3),
                                        .writeTimeout = seconds(10)};

} // namespace tamarackcove
