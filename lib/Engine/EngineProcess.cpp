#include "tamarackcove/Engine/EngineProcess.h"

#include "Announcer.h"
#include "EngineApi.h"
#include "EngineState.h"
#include "tamarackcove/Http/HttpServer.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Supervision/Supervisor.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

struct EngineProcess::Impl
{
    Impl(Supervisor &rootSupervisor, EngineSettings settings)
        : root(rootSupervisor)
        , connections(root.executor(), "connections")
        , state(root.executor(), std::move(settings))
        , server(
              connections, {},
              [this](const HttpRequest &request, HttpResponder &responder) { return api.handle(request, responder); })
        , api(state, {.newestConnection = [this] {
                  return server.acceptedConnections();
              }})
    {
    }

    asio::awaitable<void> runBatch();
    void startStep(const BatchScheduler::Step &step);
    void endStep();

    Supervisor &root;
    Supervisor connections;
    EngineState state;
    HttpServer server;
    EngineApi api;
};

EngineProcess::EngineProcess(Supervisor &root, EngineSettings settings)
    : m_impl(std::make_unique<Impl>(root, std::move(settings)))
{
}

EngineProcess::~EngineProcess() = default;

bool EngineProcess::start()
{
    auto &impl = *m_impl;
    const auto listening = impl.server.listen(impl.state.settings.listen);
    if (listening.has_error()) {
        LogLine(LogLevel::Error, "listen_failed").add("reason", listening.error().detail);
        return false;
    }
    const auto port = impl.server.port();
    LogLine(LogLevel::Info, "listening").add("port", static_cast<int>(port));
    impl.root.start("connections", [&impl] { return impl.server.run(); });
    impl.root.start("batch", [&impl] { return impl.runBatch(); });
    impl.root.start("announcer", [&impl, port] { return announce(impl.state, port); });
    LogLine(LogLevel::Info, "ready").add("port", static_cast<int>(port));
    return true;
}

asio::awaitable<void> EngineProcess::drain(milliseconds timeout)
{
    constexpr milliseconds CheckInterval{20};
    auto &state = m_impl->state;
    state.leaving = true;
    const auto deadline = Clock::now() + timeout;
    Timer timer(state.executor);
    // Entries keep sending requests until an announcement tells them that the target is leaving, so the wait lasts at
    // least two announcement intervals even without requests.
    const auto earliestDrainEnd = Clock::now() + std::min<milliseconds>(timeout, 2 * state.settings.announceInterval);
    while (Clock::now() < deadline
           && (Clock::now() < earliestDrainEnd || state.batch.hasWork() || state.requestsInService > 0
               || m_impl->server.busyConnections() > 0)) {
        timer.expires_after(CheckInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_await m_impl->connections.stop();
}

std::uint16_t EngineProcess::port() const
{
    return m_impl->server.port();
}

asio::awaitable<void> EngineProcess::Impl::runBatch()
{
    Timer timer(state.executor);
    auto stepEnd = Clock::now();
    while (true) {
        while (!state.batch.hasWork()) {
            boost::system::error_code ignored;
            co_await state.workArrived.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            stepEnd = Clock::now();
        }
        const auto step = state.batch.beginStep();
        startStep(step);
        // Computed from the end of the previous step, so that late timers do not accumulate a delay.
        stepEnd += step.length;
        if (step.length > Duration(0)) {
            timer.expires_at(stepEnd);
            co_await timer.async_wait(asio::use_awaitable);
        } else {
            co_await asio::post(state.executor, asio::use_awaitable);
        }
        endStep();
    }
}

void EngineProcess::Impl::startStep(const BatchScheduler::Step &step)
{
    for (const auto &id : step.started) {
        const auto found = state.jobs.find(id);
        if (found == state.jobs.end()) {
            continue;
        }
        const auto &job = *found->second;
        ++state.executions[job.executionKey];
        if (!state.faults.crashMarker.empty() && job.prompt.find(state.faults.crashMarker) != std::string::npos) {
            LogLine(LogLevel::Error, "crash").add("request", id).add("adapter", job.adapter);
            std::_Exit(CrashExitCode);
        }
    }
}

void EngineProcess::Impl::endStep()
{
    for (const auto &produced : state.batch.finishStep()) {
        const auto found = state.jobs.find(produced.requestId);
        if (found == state.jobs.end()) {
            continue;
        }
        auto &job = *found->second;
        job.produced = produced.offset + 1;
        state.metrics.count("engine_tokens_total");
        if (produced.last) {
            state.endJob(job, JobState::Done);
        } else {
            job.changed.cancel();
        }
    }
}

} // namespace tamarackcove
