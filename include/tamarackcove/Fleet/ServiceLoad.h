#pragma once

#include "tamarackcove/Base/Time.h"

namespace tamarackcove {

/// The requests in progress at all servers of a service that take new requests, over all entries together.
struct ServiceLoad
{
    /// Weight of the requests in progress; an ordinary request weighs 1.
    double inProgress = 0;
    /// Requests that these servers run at the same time.
    int slots = 0;
    /// Time since the report from which the load of the other entries is known.
    Duration age{0};
};

} // namespace tamarackcove
