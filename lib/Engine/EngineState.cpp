#include "EngineState.h"

#include "tamarackcove/Base/Hash.h"

namespace tamarackcove {

// How long a stream can be resumed after its end (design page, section 5).
static constexpr auto ResumeWindow = seconds(30);

static std::uint64_t newIncarnation()
{
    // The incarnation is the wall-clock time in nanoseconds, so that each restart on a host gets a greater one.
    return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
}

EngineState::EngineState(const boost::asio::any_io_executor &ioExecutor, EngineSettings engineSettings)
    : executor(ioExecutor)
    , settings(std::move(engineSettings))
    , faults(settings.faults)
    , slots(settings.adapterSlots, settings.refusesStaleFencing)
    , batch(settings.costs)
    , prefixes(settings.prefixCacheBlocks)
    , incarnation(newIncarnation())
    , random(hash64(settings.name))
    , workArrived(executor, TimePoint::max())
    , loadEnded(executor, TimePoint::max())
{
    batch.setSlowdown(faults.slowFactor);
}

void EngineState::endJob(EngineJob &job, JobState state)
{
    if (job.state != JobState::Active) {
        return;
    }
    batch.remove(job.requestId);
    slots.endRequest(job.adapter);
    job.state = state;
    job.endedAt = Clock::now();
    job.changed.cancel();
}

void EngineState::abortJobs(const std::string &adapter)
{
    for (auto &[id, job] : jobs) {
        if (adapter.empty() || job->adapter == adapter) {
            endJob(*job, JobState::Aborted);
        }
    }
}

void EngineState::coldRestart()
{
    abortJobs({});
    jobs.clear();
    slots.clear();
    prefixes.clear();
    batch.clear();
    incarnation = newIncarnation();
    loadEnded.cancel();
}

void EngineState::removeExpiredJobs(TimePoint now)
{
    std::erase_if(jobs, [now](const auto &entry) {
        return entry.second->state != JobState::Active && now - entry.second->endedAt > ResumeWindow;
    });
}

bool EngineState::sampleFault(double probability)
{
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(random) < probability;
}

} // namespace tamarackcove
