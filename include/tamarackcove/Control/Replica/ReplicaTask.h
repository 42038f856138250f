#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Consensus/Leadership.h"
#include "tamarackcove/Control/LogClient.h"
#include "tamarackcove/Control/Replica/ReplicaSettings.h"
#include "tamarackcove/Control/StateMachineHooks.h"
#include "tamarackcove/Storage/FileHooks.h"
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
///     if (auto opened = replica.open(); opened.has_error()) { ... }   // reads the folder, loads the newest snapshot
///     replica.start();                                                // adds its tasks to the supervisor
///     LogClient log = replica.client();
///
/// Thread safety: used on the thread that runs the supervisor's executor.
class ReplicaTask
{
public:
    struct Hooks
    {
        /// Called once when a file cannot be written or synced; writes to a full disk are retried instead. The process
        /// must then exit, because the content of the files on disk is unknown. No command is acknowledged afterwards.
        std::function<void(StorageError)> onFatal;
        /// Called on the thread of the executor when the leadership of this replica has changed. A change of the term
        /// is reported as None before the leadership of the new term.
        std::function<void(Leadership leadership)> onLeadershipChange;
        /// Returns whether frames to and from this peer are delivered; when the hook is not set, all are. Other frames
        /// are dropped without an error, as on a connection that loses all packets. For measurements and tests.
        std::function<bool(const std::string &peer)> allowsTraffic;
        /// How the files of the data folder are written; tests inject slow and failing disks.
        FileHooks files = FileHooks::system();
    };

    /// Precondition: the supervisor outlives this object, and is stopped before this object is destroyed.
    ReplicaTask(Supervisor &supervisor, ReplicaSettings settings, StateMachineHooks stateMachine, Hooks hooks);
    ~ReplicaTask();
    ReplicaTask(const ReplicaTask &) = delete;
    ReplicaTask &operator=(const ReplicaTask &) = delete;

    /// Reads the data folder (blocking), loads the newest snapshot into the state machine, and starts to listen for
    /// peers. Later commands of the log are applied after start(), once they are known to be committed.
    [[nodiscard]] Result<void, StorageError> open();

    /// Starts the tasks. Precondition: open() has succeeded.
    void start();

    /// Returns the functions through which other parts of the process use the log; they must not be called after this
    /// object is destroyed. propose() and readBarrier() fail with Unavailable until a leader is elected, so a caller
    /// that has just started the process must retry.
    [[nodiscard]] LogClient client();

    /// The port on which control peers are accepted; 0 when ReplicaSettings::listen is not opened.
    [[nodiscard]] std::uint16_t port() const;

    /// Replaces ReplicaSettings::administration once the kernel has chosen its port.
    /// Precondition: start() has not been called.
    void setAdministrationEndpoint(Endpoint administration);

    /// Whether this replica is the leader and its lease is valid now.
    [[nodiscard]] bool leads() const;

    /// Bytes written to the peers since the start.
    [[nodiscard]] std::uint64_t bytesSent() const;

    /// Transfers leadership to the reachable voter with the most complete log, for a planned shutdown. Repeats the
    /// attempt until the timeout has passed. Returns whether this replica is no longer the leader.
    boost::asio::awaitable<bool> transferLeadership(milliseconds timeout);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace tamarackcove
