#pragma once

#include "tamarackcove/Base/Time.h"

#include <cstddef>

namespace tamarackcove {

/// What a server accepts. The defaults are those of the settings documentation.
struct HttpLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 8 * 1024 * 1024;
    std::size_t maxConnections = 4096;
    milliseconds idleTimeout = seconds(60);
    /// The head of a request must be complete this long after its first byte.
    milliseconds headerTimeout = seconds(30);
    /// A request must be complete this long after its head.
    milliseconds requestTimeout = seconds(30);
    /// A caller that takes no bytes for this long is disconnected.
    milliseconds writeTimeout = seconds(30);
};

} // namespace tamarackcove
