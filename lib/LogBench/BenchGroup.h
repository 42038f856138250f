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

/// A replica as in a control process, but without the front ends. Its state machine only counts the applied commands.
struct BenchReplica
{
    /// While `allowsTraffic` returns false, traffic between this replica and its peers is dropped. Throws
    /// std::runtime_error when the data folder cannot be opened.
    BenchReplica(boost::asio::io_context &io, ReplicaSettings settings, std::function<bool()> allowsTraffic);

    /// Number of commands that the state machine has applied.
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
    /// Starts `size` replicas with new data folders below `folder`, after removing `folder`.
    BenchGroup(boost::asio::io_context &io, std::filesystem::path folder, int size);
    /// Destroys the replicas and removes the folder.
    ~BenchGroup();
    BenchGroup(const BenchGroup &) = delete;
    BenchGroup &operator=(const BenchGroup &) = delete;

    /// Starts a stopped replica with the data that it left in its folder.
    void start(int index);
    boost::asio::awaitable<void> stop(int index);
    boost::asio::awaitable<void> stopAll();
    /// Drops all traffic of this replica without reporting an error. std::nullopt restores the traffic of all replicas.
    void isolate(std::optional<int> index);
    /// Waits until a replica other than `excluded` leads and returns its index, or -1 after 30 s.
    boost::asio::awaitable<int> waitForLeader(int excluded = -1);
    /// Waits until every voter has caught up with this leader, or until this replica no longer leads.
    boost::asio::awaitable<void> waitUntilCaughtUp(int leader);
    [[nodiscard]] BenchReplica &at(int index);
    /// Bytes that the running replicas have sent to each other.
    [[nodiscard]] std::uint64_t bytesSent() const;

private:
    boost::asio::io_context &m_io;
    std::filesystem::path m_folder;
    std::vector<std::uint16_t> m_ports;
    std::vector<std::unique_ptr<BenchReplica>> m_replicas;
    std::optional<int> m_isolated;
};

} // namespace tamarackcove
