#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Priority.h"
#include "tamarackcove/Base/Time.h"

namespace tamarackcove {

/// What one entry wants of an adapter: requests that wait for its load, and how often it was used since the last
/// report.
struct LoadDemand
{
    AdapterRef adapter;
    int waiting = 0;
    Priority highest = Priority::Normal;
    milliseconds oldestWait{0};
    /// Requests that named the adapter since the last report, waiting ones included.
    int arrivals = 0;
};

} // namespace tamarackcove
