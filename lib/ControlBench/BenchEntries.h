#pragma once

#include "tamarackcove/Gateway/CallerDialect.h"
#include "tamarackcove/Supervision/Supervisor.h"

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <vector>

namespace tamarackcove {

struct LeaderBenchOptions;

/// Entries that are connected to one control host and take requests that name adapters by a Zipf distribution. They use
/// the links and decisions of real entries, but send nothing to servers: a request occupies its server for a fixed
/// time.
///
/// Thread safety: used on the thread of the executor.
class BenchEntries
{
public:
    BenchEntries(const boost::asio::any_io_executor &executor, const LeaderBenchOptions &options,
                 std::uint16_t controlPort);
    ~BenchEntries();
    BenchEntries(const BenchEntries &) = delete;
    BenchEntries &operator=(const BenchEntries &) = delete;

    void resetCounts();
    /// Counts since resetCounts(): requests that have ended, and the share of them that got their adapter.
    [[nodiscard]] nlohmann::json figures() const;
    boost::asio::awaitable<void> stop();

private:
    struct Entry;

    boost::asio::awaitable<void> produceRequests(Entry &entry);
    boost::asio::awaitable<void> serveRequest(Entry &entry);

    const LeaderBenchOptions &m_options;
    CallerDialect m_dialect;
    Supervisor m_tasks;
    std::mt19937_64 m_random;
    std::discrete_distribution<int> m_adapter;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::uint64_t m_startedRequests = 0;
    std::uint64_t m_served = 0;
    std::uint64_t m_notServed = 0;
};

} // namespace tamarackcove
