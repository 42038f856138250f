#pragma once

namespace tamarackcove {

class MemoryBudget;
class Metrics;

/// Sets the gauges that describe what clients make the process hold, and what they have lost. Thread safety: as for the
/// metrics.
void setClientMemoryGauges(Metrics &gauges, const MemoryBudget &budget);

/// Makes the allocator return large blocks to the kernel as soon as they are freed. By default it keeps blocks of up to
/// 32 MB for reuse once it has freed one of that size, so that a process would keep the memory of a crowd of clients.
/// To be called at the start of a process, before it has threads.
void returnLargeBlocks();

} // namespace tamarackcove
