#include "tamarackcove/Http/ClientMemory.h"

#include "tamarackcove/Http/MemoryBudget.h"
#include "tamarackcove/Observe/Metrics.h"

#include <malloc.h>

namespace tamarackcove {

void setClientMemoryGauges(Metrics &gauges, const MemoryBudget &budget)
{
    const auto gauge = [&](std::string_view name, auto value) {
        gauges.gauge(name, static_cast<double>(value));
    };
    const auto shed = [&](std::string_view what, std::uint64_t count) {
        gauge(Metrics::labelled("client_shed_count", {{"what", what}}), count);
    };
    const auto &counts = budget.counts();
    gauge("client_bytes", budget.bytes());
    gauge("client_bytes_limit", budget.limits().bytes);
    gauge("client_connections", budget.connections());
    gauge("client_connections_limit", budget.limits().connections);
    shed("body", counts.bodiesShed);
    shed("answer", counts.answersShed);
    shed("connection", counts.connectionsShed);
    shed("bytes_refused", counts.bytesRefused);
    shed("connection_refused", counts.connectionsRefused);
}

void returnLargeBlocks()
{
    // Setting the threshold keeps it fixed. Smaller blocks are too frequent for calls of the kernel of their own.
    constexpr int LargeBlockBytes = 256 * 1024;
    (void)mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
    (void)mallopt(M_TRIM_THRESHOLD, 2 * LargeBlockBytes);
}

} // namespace tamarackcove
