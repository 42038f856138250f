#pragma once

#include "tamarackcove/Base/Time.h"

namespace tamarackcove {

/// The request load of the servers of a service that take requests, as one entry knows it.
struct ServiceLoad
{
    /// Weight of the requests in progress: those of this entry now, and those of the others as last reported.
    double inProgress = 0;
    /// Requests that the servers run at the same time.
    int slots = 0;
    /// Time since the leader last reported loads; Duration::max() if it never has.
    Duration reportAge = Duration::max();
};

} // namespace tamarackcove
