#include "ReplicaDriver.h"

#include "tamarackcove/Observe/LogLine.h"

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>

namespace asio = boost::asio;

namespace tamarackcove {

/// Longest wait for a command to be committed; after it the proposer gets OutcomeUnknown.
static constexpr milliseconds ProposalTimeout{5000};
static constexpr milliseconds ReadTimeout{2000};
/// Time between two attempts to write to a full disk.
static constexpr milliseconds FullDiskRetryInterval{200};

static ReplicaOptions optionsFrom(const ReplicaSettings &settings)
{
    ReplicaOptions options;
    options.heartbeatInterval = settings.heartbeatInterval;
    options.minElectionTimeout = settings.minElectionTimeout;
    options.maxElectionTimeout = settings.maxElectionTimeout;
    options.leaderLease = settings.leaderLease;
    options.maxVoters = settings.maxVoters;
    options.random = [generator = std::mt19937_64(std::random_device()())]() mutable {
        return generator();
    };
    return options;
}

ReplicaDriver::ReplicaDriver(asio::any_io_executor executor, ReplicaSettings settings, StateMachineHooks stateMachine,
                             Hooks hooks)
    : m_executor(std::move(executor))
    , m_settings(std::move(settings))
    , m_stateMachine(std::move(stateMachine))
    , m_hooks(std::move(hooks))
    , m_storageWakeTimer(m_executor, TimePoint::max())
    , m_tickTimer(m_executor)
{
}

ReplicaDriver::~ReplicaDriver()
{
    *m_alive = false;
    m_storageThread.join();
}

Result<void, StorageError> ReplicaDriver::open()
{
    RecoveredState recovered;
    auto folder = DataFolder::open(m_settings.dataFolder, m_hooks.files, randomIdentity, recovered);
    if (folder.has_error()) {
        return std::move(folder).error();
    }
    m_folder = std::move(folder).value();
    if (recovered.snapshot) {
        m_stateMachine.loadSnapshot(*recovered.snapshot->bytes);
        m_appliedIndex = m_lastSnapshotIndex = recovered.snapshot->lastIndex;
    }
    m_replica.emplace(optionsFrom(m_settings), std::move(recovered), Clock::now());
    LogLine(LogLevel::Info, "replica_opened")
        .add("identity", m_replica->self().value())
        .add("last_index", m_replica->log().lastIndex())
        .add("snapshot_index", m_lastSnapshotIndex)
        .add("term", m_replica->term());
    return ok();
}

Replica &ReplicaDriver::replica()
{
    return *m_replica;
}

const Replica &ReplicaDriver::replica() const
{
    return *m_replica;
}

bool ReplicaDriver::isUninitialised() const
{
    return m_replica->group().empty() && m_replica->term() == 0;
}

LogIndex ReplicaDriver::appliedIndex() const
{
    return m_appliedIndex;
}

bool ReplicaDriver::leads() const
{
    return !m_storageFailed && m_replica->leads(Clock::now());
}

void ReplicaDriver::scheduleStep()
{
    if (m_stepScheduled || m_storageFailed) {
        return;
    }
    m_stepScheduled = true;
    asio::post(m_executor, [this, alive = m_alive] {
        if (*alive) {
            m_stepScheduled = false;
            step();
        }
    });
}

void ReplicaDriver::step()
{
    if (m_storageFailed) {
        return;
    }
    auto output = m_replica->takeOutput(Clock::now());
    for (auto &message : output.messages) {
        m_hooks.send(std::move(message));
    }
    if (output.persist) {
        m_pendingPersists.push_back(std::move(*output.persist));
        m_storageWakeTimer.cancel();
    }
    for (const auto &entry : output.committed) {
        apply(*entry);
    }
    for (const auto number : output.readyReads) {
        if (const auto node = m_pendingReads.extract(number)) {
            finish(node.mapped(), std::string());
        }
    }
    for (const auto number : output.failedReads) {
        if (const auto node = m_pendingReads.extract(number)) {
            finish(node.mapped(), notLeaderError());
        }
    }
    if (m_replica->role() != ReplicaRole::Leader) {
        failWaiters();
    }
    reportLeadership();
    takeSnapshotIfDue();
    armTimer();
}

void ReplicaDriver::apply(const LogEntry &entry)
{
    m_appliedIndex = entry.index;
    std::string answer;
    if (entry.kind == EntryKind::Command) {
        answer = m_stateMachine.apply(entry.index, entry.time, entry.command);
    }
    const auto node = m_pendingProposals.extract(entry.index);
    if (!node) {
        return;
    }
    if (node.mapped()->term == entry.term) {
        finish(node.mapped(), std::move(answer));
    } else {
        // The entry of another leader was committed at this index, so the command is in no replica's committed log.
        finish(node.mapped(), notLeaderError());
    }
}

void ReplicaDriver::failWaiters()
{
    for (const auto &[index, waiter] : std::exchange(m_pendingProposals, {})) {
        finish(waiter,
               LogError{.code = LogErrorCode::OutcomeUnknown,
                        .detail = "leadership was lost before the command was committed; send it again with the same "
                                  "command id",
                        .leader = m_hooks.administration(m_replica->leader())});
    }
}

void ReplicaDriver::finish(const WaiterPtr &waiter, Result<std::string, LogError> result)
{
    waiter->result = std::move(result);
    waiter->timer.cancel();
}

void ReplicaDriver::reportLeadership()
{
    const auto leadership = m_replica->leadership(Clock::now());
    if (m_reportedTerm != m_replica->term()) {
        reportLeadership(Leadership::None);
        m_reportedTerm = m_replica->term();
    }
    reportLeadership(leadership);
}

static std::string_view leadershipEvent(Leadership leadership)
{
    switch (leadership) {
    case Leadership::None:
        return "leadership_lost";
    case Leadership::Suspended:
        return "leadership_suspended";
    case Leadership::Held:
        return "leadership_gained";
    }
    return "leadership_unknown";
}

void ReplicaDriver::reportLeadership(Leadership leadership)
{
    if (leadership == m_reportedLeadership) {
        return;
    }
    m_reportedLeadership = leadership;
    LogLine(LogLevel::Info, leadershipEvent(leadership)).add("replica", m_settings.name).add("term", m_reportedTerm);
    if (m_hooks.onLeadershipChange) {
        m_hooks.onLeadershipChange(leadership);
    }
}

void ReplicaDriver::takeSnapshotIfDue()
{
    if (m_appliedIndex < m_lastSnapshotIndex + m_settings.snapshotThreshold || m_pendingSnapshot
        || m_appliedIndex <= m_replica->log().base().index) {
        return;
    }
    const auto &last = *m_replica->log().at(m_appliedIndex);
    m_pendingSnapshot = SnapshotImage{.lastIndex = m_appliedIndex,
                                      .lastTerm = last.term,
                                      .lastTime = last.time,
                                      .group = m_replica->log().groupAt(m_appliedIndex),
                                      .bytes = std::make_shared<const std::string>(m_stateMachine.saveSnapshot())};
    m_lastSnapshotIndex = m_appliedIndex;
    m_storageWakeTimer.cancel();
}

void ReplicaDriver::armTimer()
{
    const auto deadline = m_replica->deadline();
    if (deadline <= Clock::now()) {
        scheduleStep();
    }
    if (deadline < m_tickTimer.expiry()) {
        m_tickTimer.expires_at(deadline);
    }
}

asio::awaitable<void> ReplicaDriver::runTimer()
{
    while (!m_storageFailed) {
        m_tickTimer.expires_at(m_replica->deadline());
        boost::system::error_code ignored;
        co_await m_tickTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (Clock::now() >= m_replica->deadline()) {
            m_replica->tick(Clock::now());
            scheduleStep();
            // Lets the posted step run, which moves the deadline, before the deadline is read again.
            co_await asio::post(m_executor, asio::use_awaitable);
        }
    }
}

asio::awaitable<void> ReplicaDriver::runStorage()
{
    while (!m_storageFailed) {
        if (m_pendingPersists.empty() && !m_pendingSnapshot) {
            boost::system::error_code ignored;
            co_await m_storageWakeTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        }
        if (!m_pendingPersists.empty()) {
            auto requests = std::make_shared<std::vector<PersistRequest>>(
                std::make_move_iterator(m_pendingPersists.begin()), std::make_move_iterator(m_pendingPersists.end()));
            m_pendingPersists.clear();
            StorageWork work = [this, requests] {
                return m_folder->persist(*requests);
            };
            const auto written = co_await runOnStorageThread(std::move(work));
            if (written.has_error() && written.error().code == StorageErrorCode::NoSpace) {
                // These requests were not acknowledged and are retried. The other replicas can commit meanwhile.
                if (!std::exchange(m_diskFull, true)) {
                    LogLine(LogLevel::Warning, "storage_full").add("reason", written.error().detail);
                }
                m_pendingPersists.insert(m_pendingPersists.begin(), std::make_move_iterator(requests->begin()),
                                         std::make_move_iterator(requests->end()));
                co_await delayStorageRetry();
                continue;
            }
            if (written.has_error()) {
                failFatally(written.error());
                co_return;
            }
            for (const auto &request : *requests) {
                if (request.snapshot) {
                    m_stateMachine.loadSnapshot(*request.snapshot->bytes);
                    m_appliedIndex = m_lastSnapshotIndex = request.snapshot->lastIndex;
                }
            }
            if (std::exchange(m_diskFull, false)) {
                LogLine(LogLevel::Info, "storage_writable").add("replica", m_settings.name);
            }
            m_replica->markPersisted(requests->back().sequence, Clock::now());
            scheduleStep();
        }
        if (m_pendingSnapshot) {
            const auto image = *m_pendingSnapshot;
            StorageWork work = [this, image] {
                return m_folder->saveSnapshot(image);
            };
            const auto saved = co_await runOnStorageThread(std::move(work));
            if (saved.has_error() && saved.error().code == StorageErrorCode::NoSpace) {
                co_await delayStorageRetry();
                continue;
            }
            if (saved.has_error()) {
                failFatally(saved.error());
                co_return;
            }
            m_pendingSnapshot.reset();
            m_replica->recordSavedSnapshot(image);
        }
    }
}

asio::awaitable<void> ReplicaDriver::delayStorageRetry()
{
    Timer timer(m_executor, FullDiskRetryInterval);
    co_await timer.async_wait(asio::use_awaitable);
}

void ReplicaDriver::failFatally(const StorageError &error)
{
    m_storageFailed = true;
    LogLine(LogLevel::Error, "storage_failed").add("replica", m_settings.name).add("reason", error.detail);
    failWaiters();
    m_tickTimer.cancel();
    reportLeadership(Leadership::None);
    if (m_hooks.onFatal) {
        m_hooks.onFatal(error);
    }
}

asio::awaitable<Result<void, StorageError>> ReplicaDriver::runOnStorageThread(StorageWork work)
{
    auto initiate = [this, &work](auto handler) {
        // Keeps the io_context running while the work is on the storage thread.
        auto executor = asio::prefer(asio::get_associated_executor(handler, m_executor),
                                     asio::execution::outstanding_work.tracked);
        asio::post(m_storageThread, [work, executor, done = std::move(handler)]() mutable {
            auto result = work();
            asio::post(executor, [result = std::move(result), done = std::move(done)]() mutable {
                std::move(done)(std::move(result));
            });
        });
    };
    co_return co_await asio::async_initiate<const asio::use_awaitable_t<>, void(Result<void, StorageError>)>(
        initiate, asio::use_awaitable);
}

LogError ReplicaDriver::notLeaderError() const
{
    const auto &leader = m_replica->leader();
    if (leader.empty() || leader == m_replica->self()) {
        return {.code = LogErrorCode::Unavailable,
                .detail = "no leader: a majority of the control replicas cannot be reached, or an election is running; "
                          "try again",
                .leader = std::nullopt};
    }
    return {.code = LogErrorCode::NotLeader,
            .detail = "this replica is not the leader; send the request to the leader",
            .leader = m_hooks.administration(leader)};
}

LogError ReplicaDriver::toLogError(ReplicaError error) const
{
    switch (error) {
    case ReplicaError::NotLeader:
        return notLeaderError();
    case ReplicaError::NoMajority:
        return {.code = LogErrorCode::Unavailable,
                .detail = "a majority of the control replicas cannot be reached; restore hosts or try again later",
                .leader = std::nullopt};
    case ReplicaError::CommandTooLong:
        return {.code = LogErrorCode::Unavailable,
                .detail = "the command is longer than 512 KiB; split it",
                .leader = std::nullopt};
    case ReplicaError::TooManyUncommitted:
        return {.code = LogErrorCode::Unavailable,
                .detail = "too many commands are waiting to be committed; try again later",
                .leader = std::nullopt};
    }
    return notLeaderError();
}

asio::awaitable<Result<std::string, LogError>> ReplicaDriver::waitForResult(WaiterPtr waiter, milliseconds timeout,
                                                                            LogError timeoutError)
{
    scheduleStep();
    waiter->timer.expires_after(timeout);
    boost::system::error_code ignored;
    co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (waiter->result) {
        co_return std::move(*waiter->result);
    }
    co_return timeoutError;
}

asio::awaitable<Result<std::string, LogError>> ReplicaDriver::propose(std::string command)
{
    if (m_storageFailed) {
        co_return notLeaderError();
    }
    const auto position = m_replica->propose(std::move(command), std::chrono::system_clock::now(), Clock::now());
    if (position.has_error()) {
        co_return toLogError(position.error());
    }
    auto waiter = std::make_shared<Waiter>(m_executor);
    waiter->term = position.value().term;
    m_pendingProposals[position.value().index] = waiter;
    LogError timeoutError;
    timeoutError.code = LogErrorCode::OutcomeUnknown;
    timeoutError.detail = "the command was not committed in time; send it again with the same command id";
    co_return co_await waitForResult(std::move(waiter), ProposalTimeout, std::move(timeoutError));
}

asio::awaitable<Result<void, LogError>> ReplicaDriver::readBarrier()
{
    if (m_storageFailed) {
        co_return notLeaderError();
    }
    const auto number = m_replica->requestRead(Clock::now());
    if (number.has_error()) {
        co_return toLogError(number.error());
    }
    auto waiter = std::make_shared<Waiter>(m_executor);
    m_pendingReads[number.value()] = waiter;
    auto timeoutError = toLogError(ReplicaError::NoMajority);
    const auto result = co_await waitForResult(std::move(waiter), ReadTimeout, std::move(timeoutError));
    m_pendingReads.erase(number.value());
    if (result.has_error()) {
        co_return result.error();
    }
    co_return ok();
}

} // namespace tamarackcove
