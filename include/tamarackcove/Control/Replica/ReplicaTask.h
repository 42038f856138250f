#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Control/LogClient.h"
#include "tamarackcove/Control/Replica/ReplicaSettings.h"
#include "tamarackcove/Control/StateMachineHooks.h"
#include "tamarackcove/Storage/StorageError.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>

namespace tamarackcove {

class Supervisor;

/// Runs this process's replica of the replicated log: its files, its timer and one task for each control peer.
///
///     ReplicaTask replica(supervisor, settings, machineHooks, {.onFatal = stopTheProcess});
///     if (auto opened = replica.open(); opened.has_error()) { ... }   // reads the folder, feeds the state machine
///     replica.start();                                                // adds its tasks to the supervisor
///     LogClient log = replica.client();
///
/// Thread safety: used on the thread that runs the supervisor's executor.
class ReplicaTask
{
public:
    struct Hooks
    {
        /// Called once when a file cannot be written or synced. The process must then stop: what the disk holds is no
        /// longer known. No command is acknowledged afterwards.
        std::function<void(StorageError)> onFatal;
        /// Called on this thread whenever this replica begins or ceases to lead with a valid lease.
        std::function<void(bool leads)> onLeadership;
        /// Whether frames from and to this peer pass; by default all do. Others are dropped without an error, as on a
        /// connection that has become silent. For measurements and tests.
        std::function<bool(const std::string &peer)> passes;
    };

    /// Precondition: the supervisor outlives this object, and is stopped before it is destroyed.
    ReplicaTask(Supervisor &supervisor, ReplicaSettings settings, StateMachineHooks machine, Hooks hooks);
    ~ReplicaTask();
    ReplicaTask(const ReplicaTask &) = delete;
    ReplicaTask &operator=(const ReplicaTask &) = delete;

    /// Reads the data folder (blocking), hands the newest snapshot and the commands known to be committed to the state
    /// machine, and starts to listen for peers.
    [[nodiscard]] Result<void, StorageError> open();

    /// Starts the tasks. Precondition: open() has succeeded.
    void start();

    /// The calls for the other parts of the process; valid as long as this object. propose() before an election fails
    /// with Unavailable, so a caller that has just started the process waits for readBarrier() or retries.
    [[nodiscard]] LogClient client();

    /// The port that accepts control peers; 0 without peers.
    [[nodiscard]] std::uint16_t port() const;

    /// Replaces ReplicaSettings::administration, when its port came from the kernel. Call before start().
    void advertise(Endpoint administration);

    /// Whether this replica leads and its lease is valid now.
    [[nodiscard]] bool leads() const;

    /// Bytes written to the peers since the start.
    [[nodiscard]] std::uint64_t bytesSent() const;

    /// Hands leadership to the most advanced peer before a shutdown. Returns whether this replica no longer leads.
    boost::asio::awaitable<bool> transferLeadership(milliseconds timeout);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace tamarackcove
