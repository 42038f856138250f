#pragma once

#include "tamarackcove/Consensus/Replica.h"
#include "tamarackcove/Control/LogError.h"
#include "tamarackcove/Control/Replica/ReplicaTask.h"
#include "tamarackcove/Storage/DataFolder.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace tamarackcove {

/// Carries out what the decision class of one replica asks for: storage on its own thread, applying, waiting callers.
///
/// Events (messages, ticks, proposals) go to replica(), followed by scheduleStep(): all events of one turn of the io
/// thread share one step, and with it one message to each peer and one sync.
/// Thread safety: used on the io thread.
class ReplicaDriver
{
public:
    struct Hooks
    {
        std::function<void(ReplicaMessage)> send;
        /// Where the administration API of this replica identity is, when known.
        std::function<std::optional<Endpoint>(const ReplicaId &)> administration;
        std::function<void(StorageError)> onFatal;
        std::function<void(bool)> onLeadership;
        FileHooks files = FileHooks::system();
    };

    ReplicaDriver(boost::asio::any_io_executor executor, ReplicaSettings settings, StateMachineHooks machine,
                  Hooks hooks);
    ~ReplicaDriver();
    ReplicaDriver(const ReplicaDriver &) = delete;
    ReplicaDriver &operator=(const ReplicaDriver &) = delete;

    /// Reads the data folder. Blocks. Precondition of every other method: it has succeeded.
    [[nodiscard]] Result<void, StorageError> open();

    [[nodiscard]] Replica &replica();
    [[nodiscard]] const Replica &replica() const;
    /// Runs a step once the current turn has ended.
    void scheduleStep();

    /// Task that calls Replica::tick() when it is due.
    boost::asio::awaitable<void> runTimer();
    /// Task that writes persist requests and snapshots; requests that arrive during a sync share the next one.
    boost::asio::awaitable<void> runStorage();

    boost::asio::awaitable<Result<std::string, LogError>> propose(std::string command);
    boost::asio::awaitable<Result<void, LogError>> readBarrier();
    [[nodiscard]] LogIndex appliedIndex() const;
    [[nodiscard]] bool leads() const;
    /// Whether this replica has never taken part in a group.
    [[nodiscard]] bool empty() const;

private:
    using StorageWork = std::function<Result<void, StorageError>()>;

    /// A coroutine that waits for a proposal or a read.
    struct Waiter
    {
        explicit Waiter(const boost::asio::any_io_executor &executor)
            : timer(executor)
        {
        }
        boost::asio::steady_timer timer;
        Term term = 0;
        std::optional<Result<std::string, LogError>> result;
    };
    using WaiterPtr = std::shared_ptr<Waiter>;

    void step();
    void apply(const LogEntry &entry);
    void reportLeadership();
    void failWaiters();
    void armTimer();
    void snapshotIfDue();
    void failFatally(const StorageError &error);
    boost::asio::awaitable<void> pauseStorage();
    static void finish(const WaiterPtr &waiter, Result<std::string, LogError> result);
    [[nodiscard]] LogError translate(ReplicaError error) const;
    [[nodiscard]] LogError refusal() const;
    boost::asio::awaitable<Result<std::string, LogError>> wait(WaiterPtr waiter, milliseconds timeout, LogError late);
    boost::asio::awaitable<Result<void, StorageError>> onStorageThread(StorageWork work);

    boost::asio::any_io_executor m_executor;
    ReplicaSettings m_settings;
    StateMachineHooks m_machine;
    Hooks m_hooks;
    std::optional<DataFolder> m_folder;
    std::optional<Replica> m_replica;
    boost::asio::thread_pool m_storageThread{1};

    std::deque<PersistRequest> m_toPersist;
    std::optional<SnapshotImage> m_toSnapshot;
    boost::asio::steady_timer m_storageWork;
    boost::asio::steady_timer m_tick;
    bool m_stepScheduled = false;
    bool m_failed = false;
    bool m_diskFull = false;
    bool m_reportedLeading = false;
    LogIndex m_applied = 0;
    LogIndex m_lastSnapshot = 0;
    std::map<LogIndex, WaiterPtr> m_proposals;
    std::unordered_map<std::uint64_t, WaiterPtr> m_reads;
    /// Ends posted steps that outlive this object.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace tamarackcove
