#pragma once

#include "tamarackcove/Consensus/Replica.h"
#include "tamarackcove/Control/LogError.h"
#include "tamarackcove/Control/Replica/ReplicaTask.h"
#include "tamarackcove/Storage/DataFolder.h"
#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/thread_pool.hpp>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace tamarackcove {

/// Executes the output of one Replica, which makes the decisions: writes to disk on a storage thread, applies committed
/// entries to the state machine, and resumes the callers that wait for a result.
///
/// The caller passes each event (message, tick, proposal) to replica() and then calls scheduleStep(). All events of one
/// turn of the event loop share one step, and so one message to each peer and one sync of the log file.
/// Thread safety: used on the io thread.
class ReplicaDriver
{
public:
    struct Hooks
    {
        std::function<void(ReplicaMessage)> send;
        /// Returns the endpoint of the administration API of the replica with this identity, if known.
        std::function<std::optional<Endpoint>(const ReplicaId &)> administration;
        std::function<void(StorageError)> onFatal;
        std::function<void(Leadership)> onLeadershipChange;
        FileHooks files = FileHooks::system();
    };

    ReplicaDriver(boost::asio::any_io_executor executor, ReplicaSettings settings, StateMachineHooks stateMachine,
                  Hooks hooks);
    ~ReplicaDriver();
    ReplicaDriver(const ReplicaDriver &) = delete;
    ReplicaDriver &operator=(const ReplicaDriver &) = delete;

    /// Reads the data folder; blocks. Must have succeeded before any other method is called.
    [[nodiscard]] Result<void, StorageError> open();

    [[nodiscard]] Replica &replica();
    [[nodiscard]] const Replica &replica() const;
    /// Posts a step to the executor, unless one is already posted.
    void scheduleStep();

    /// Task that calls Replica::tick() whenever Replica::deadline() has passed.
    boost::asio::awaitable<void> runTimer();
    /// Task that writes persist requests and snapshots. Requests that arrive during a sync share the next sync.
    boost::asio::awaitable<void> runStorage();

    boost::asio::awaitable<Result<std::string, LogError>> propose(std::string command);
    boost::asio::awaitable<Result<void, LogError>> readBarrier();
    [[nodiscard]] LogIndex appliedIndex() const;
    [[nodiscard]] bool leads() const;
    /// Whether this replica has never taken part in a group.
    [[nodiscard]] bool isUninitialised() const;

private:
    using StorageWork = std::function<Result<void, StorageError>()>;

    /// State of a coroutine that waits for the result of a proposal or a read barrier.
    struct Waiter
    {
        explicit Waiter(const boost::asio::any_io_executor &executor)
            : timer(executor)
        {
        }
        Timer timer;
        /// Term of the proposed entry; not used for a read barrier.
        Term term = 0;
        std::optional<Result<std::string, LogError>> result;
    };
    using WaiterPtr = std::shared_ptr<Waiter>;

    void step();
    void apply(const LogEntry &entry);
    void reportLeadership();
    void reportLeadership(Leadership leadership);
    void failWaiters();
    void armTimer();
    void takeSnapshotIfDue();
    void failFatally(const StorageError &error);
    boost::asio::awaitable<void> delayStorageRetry();
    static void finish(const WaiterPtr &waiter, Result<std::string, LogError> result);
    [[nodiscard]] LogError toLogError(ReplicaError error) const;
    /// The error of a call on a replica that is not the leader: NotLeader, or Unavailable when no leader is known.
    [[nodiscard]] LogError notLeaderError() const;
    boost::asio::awaitable<Result<std::string, LogError>> waitForResult(WaiterPtr waiter, milliseconds timeout,
                                                                        LogError timeoutError);
    boost::asio::awaitable<Result<void, StorageError>> runOnStorageThread(StorageWork work);

    boost::asio::any_io_executor m_executor;
    ReplicaSettings m_settings;
    StateMachineHooks m_stateMachine;
    Hooks m_hooks;
    std::optional<DataFolder> m_folder;
    std::optional<Replica> m_replica;
    boost::asio::thread_pool m_storageThread{1};

    std::deque<PersistRequest> m_pendingPersists;
    std::optional<SnapshotImage> m_pendingSnapshot;
    Timer m_storageWakeTimer;
    Timer m_tickTimer;
    bool m_stepScheduled = false;
    bool m_storageFailed = false;
    bool m_diskFull = false;
    Leadership m_reportedLeadership = Leadership::None;
    Term m_reportedTerm = 0;
    LogIndex m_appliedIndex = 0;
    LogIndex m_lastSnapshotIndex = 0;
    std::map<LogIndex, WaiterPtr> m_pendingProposals;
    std::unordered_map<std::uint64_t, WaiterPtr> m_pendingReads;
    /// Set to false on destruction, so that a step that is still posted does nothing.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace tamarackcove
