#pragma once

#include "tamarackcove/Control/Replica/ReplicaTask.h"
#include "tamarackcove/Supervision/Supervisor.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <memory>
#include <optional>
#include <vector>

namespace tamarackcove {

/// A control process of the measured group, without its front ends and with a state machine that only counts.
struct BenchReplica
{
    BenchReplica(boost::asio::io_context &io, ReplicaSettings settings, std::function<bool()> passes);

    std::uint64_t applied = 0;
    Supervisor supervisor;
    ReplicaTask task;
    LogClient log;
};

/// Replicas of one group in this process, connected over loopback.
///
/// Thread safety: used on the thread that runs the io_context.
class BenchGroup
{
public:
    BenchGroup(boost::asio::io_context &io, std::filesystem::path folder, int size);
    ~BenchGroup();
    BenchGroup(const BenchGroup &) = delete;
    BenchGroup &operator=(const BenchGroup &) = delete;

    void start(int index);
    boost::asio::awaitable<void> stop(int index);
    boost::asio::awaitable<void> stopAll();
    /// Drops all traffic of this replica without an error; no index restores all traffic.
    void isolate(std::optional<int> index);
    /// Waits until a replica leads, other than this one, and returns its index; -1 after 30 s.
    boost::asio::awaitable<int> waitForLeader(int otherThan = -1);
    /// Waits until all voters are caught up.
    boost::asio::awaitable<void> waitUntilWhole(int leader);
    [[nodiscard]] BenchReplica &at(int index);
    [[nodiscard]] std::uint64_t bytesSent() const;

private:
    boost::asio::io_context &m_io;
    std::filesystem::path m_folder;
    std::vector<std::uint16_t> m_ports;
    std::vector<std::unique_ptr<BenchReplica>> m_replicas;
    std::optional<int> m_isolated;
};

} // namespace tamarackcove
