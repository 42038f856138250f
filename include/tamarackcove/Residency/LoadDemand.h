#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Priority.h"
#include "tamarackcove/Base/Time.h"

namespace tamarackcove {

/// The demand of one entry for one adapter, as the entry reports it to the zone coordinator: requests that wait for the
/// adapter to be loaded, and arrivals since the previous report.
struct LoadDemand
{
    AdapterRef adapter;
    /// Number of requests that wait for the adapter to be loaded.
    int waiting = 0;
    /// The highest priority among the waiting requests.
    Priority highest = Priority::Normal;
    /// How long the request that has waited longest for the adapter has waited.
    milliseconds oldestWait{0};
    /// Requests for the adapter since the previous report, including the waiting ones.
    int arrivals = 0;
};

} // namespace tamarackcove
