#pragma once

#include "tamarackcove/Engine/AdapterSlots.h"
#include "tamarackcove/Engine/BatchScheduler.h"
#include "tamarackcove/Engine/EngineSettings.h"
#include "tamarackcove/Engine/LaggedReport.h"
#include "tamarackcove/Engine/PrefixCache.h"
#include "tamarackcove/Engine/TokenFunction.h"
#include "tamarackcove/Observe/Metrics.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace tamarackcove {

/// Exit code of a simulated crash.
inline constexpr int CrashExitCode = 70;

enum class JobState {
    Active,
    Done,
    Cancelled,
    /// Its adapter was unloaded or the engine restarted.
    Aborted,
};

/// One request in an engine; kept for a while after its end, so that its stream can be resumed.
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
    /// Under which its run is counted.
    std::string executionKey;
    std::size_t tokens;
    TokenFunction function;
    bool chat = false;
    bool stream = false;
    std::size_t produced = 0;
    JobState state = JobState::Active;
    TimePoint endedAt;
    /// Never expires; cancelled at each change.
    boost::asio::steady_timer changed;
};

/// What the tasks of a simulated engine share.
struct EngineState
{
    EngineState(const boost::asio::any_io_executor &ioExecutor, EngineSettings engineSettings);

    /// Ends a job that is active: frees its place and its pin and wakes its writers.
    void endJob(EngineJob &job, JobState state);
    /// Ends the active jobs of an adapter, or all with an empty name.
    void abortJobs(const std::string &adapter);
    /// Drops all adapters and jobs and takes a new incarnation.
    void coldRestart();
    /// Forgets jobs that ended long ago.
    void purgeJobs(TimePoint now);
    bool chance(double probability);

    boost::asio::any_io_executor executor;
    EngineSettings settings;
    EngineFaults faults;
    AdapterSlots slots;
    BatchScheduler batch;
    PrefixCache prefixes;
    LaggedReport reports;
    Metrics metrics;
    std::uint64_t incarnation;
    bool leaving = false;
    /// Connections with a lower number are silent while the switch is on.
    std::uint64_t firstLiveConnection = 0;
    std::uint64_t nextRequest = 0;
    int requestsInService = 0;
    std::mt19937_64 random;
    std::map<std::string, std::shared_ptr<EngineJob>> jobs;
    /// Runs by idempotency key, or by the first word of the prompt, so that tests can count them.
    std::map<std::string, int> executions;
    /// Never expires; cancelled when the batch gets work.
    boost::asio::steady_timer workArrived;
    /// Never expires; cancelled when a load ends.
    boost::asio::steady_timer loadEnded;
};

} // namespace tamarackcove
