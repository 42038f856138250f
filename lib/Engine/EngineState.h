#pragma once

#include "tamarackcove/Engine/AdapterSlots.h"
#include "tamarackcove/Engine/BatchScheduler.h"
#include "tamarackcove/Engine/EngineSettings.h"
#include "tamarackcove/Engine/LoadReportHistory.h"
#include "tamarackcove/Engine/PrefixCache.h"
#include "tamarackcove/Engine/TokenFunction.h"
#include "tamarackcove/Observe/Metrics.h"
#include "tamarackcove/Supervision/Timer.h"

#include <map>
#include <memory>
#include <random>
#include <string>

namespace tamarackcove {

/// Exit code of the process in a simulated crash.
inline constexpr int CrashExitCode = 70;

enum class JobState {
    Active,
    Done,
    Cancelled,
    /// The adapter was unloaded, or the engine restarted, before the job was done.
    Aborted,
};

/// One request in an engine, kept for a time after its end so that its stream can be resumed.
struct EngineJob
{
    EngineJob(const boost::asio::any_io_executor &executor, std::string id, std::string model, std::string promptText,
              std::size_t tokenCount)
        : requestId(std::move(id))
        , adapter(std::move(model))
        , prompt(std::move(promptText))
        , tokens(tokenCount)
        , function(adapter, prompt)
        , changed(executor, TimePoint::max())
    {
    }

    std::string requestId;
    std::string adapter;
    std::string prompt;
    /// Key of this job in EngineState::executions.
    std::string executionKey;
    /// Number of tokens to generate.
    std::size_t tokens;
    TokenFunction function;
    bool chat = false;
    bool stream = false;
    /// Number of tokens generated so far.
    std::size_t produced = 0;
    JobState state = JobState::Active;
    TimePoint endedAt;
    /// Never expires; cancelled to wake its waiters when `produced` or `state` changes.
    Timer changed;
};

/// State that the tasks of a simulated engine share.
///
/// Thread safety: used on the thread of the executor.
struct EngineState
{
    EngineState(const boost::asio::any_io_executor &ioExecutor, EngineSettings engineSettings);

    /// Ends an active job: removes it from the batch, ends the request in its adapter slot and wakes the coroutines
    /// that write its response. Does nothing if the job has ended already.
    void endJob(EngineJob &job, JobState state);
    /// Aborts the active jobs of an adapter, or all active jobs if `adapter` is empty.
    void abortJobs(const std::string &adapter);
    /// Simulates a restart: drops all adapters and jobs and starts a new incarnation.
    void coldRestart();
    /// Deletes jobs that ended too long ago to be resumed.
    void removeExpiredJobs(TimePoint now);
    /// Returns true with the given probability.
    bool sampleFault(double probability);

    boost::asio::any_io_executor executor;
    EngineSettings settings;
    EngineFaults faults;
    AdapterSlots slots;
    BatchScheduler batch;
    PrefixCache prefixes;
    LoadReportHistory reports;
    Metrics metrics;
    std::uint64_t incarnation;
    bool leaving = false;
    /// While EngineFaults::silenceOpenConnections is set, connections with a number below this one get no answers.
    std::uint64_t firstUnsilencedConnection = 0;
    std::uint64_t nextRequest = 0;
    /// Requests that a plain service is working on.
    int requestsInService = 0;
    std::mt19937_64 random;
    std::map<std::string, std::shared_ptr<EngineJob>> jobs;
    /// Number of executions by idempotency key, or by the first word of the prompt or body if the request has no key.
    /// Tests check it for repeated executions.
    std::map<std::string, int> executions;
    /// Never expires; cancelled to wake the batch task when a request is added to the batch.
    Timer workArrived;
    /// Never expires; cancelled to wake its waiters when an adapter load ends.
    Timer loadEnded;
};

} // namespace tamarackcove
