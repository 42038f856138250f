#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Entry/Callers/AdmissionGate.h"
#include "tamarackcove/Entry/Callers/LoadWait.h"
#include "tamarackcove/Entry/Targets/Destination.h"
#include "tamarackcove/Entry/Targets/DispatchContext.h"
#include "tamarackcove/Http/CallerWatch.h"
#include "tamarackcove/Requests/BrokenTargets.h"
#include "tamarackcove/Requests/CrashLedger.h"
#include "tamarackcove/Requests/RetryBudget.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <random>
#include <set>

namespace tamarackcove {

class HttpResponder;
class PinTable;
class RequestLife;
class Router;
class Supervisor;
class TargetCall;
struct Call;
struct HttpRequest;
struct RouteChoice;
struct ServingConfiguration;

/// Serves one request after the front end has read it: admits it, finds a target, waits for a load, dispatches,
/// retries and ends it. Knows nothing of the encoding that callers use.
///
/// Thread safety: used on the thread of the executor.
class RequestPath
{
public:
    struct Options
    {
        Admission::Options admission;
        LoadWait::Options loads;
        RetryBudget::Options retries;
        CrashLedger::Options crashes;
        /// Attempts that may have run or went to another zone.
        int maxAttempts = 4;
        /// All attempts. Those that did not run are cheap and bridge the time until the view no longer shows a target
        /// that went down; with the backoff they last about four seconds.
        int maxNotRunAttempts = 12;
        /// A request without a deadline waits for a target at most this long.
        milliseconds maxWait = seconds(30);
        /// How often a request looks again for a target while none may take it.
        milliseconds pausePerLook = milliseconds(20);
        std::uint64_t seed = 1;
    };

    /// What the path needs of the rest of the entry; all outlive it.
    struct Parts
    {
        const ZoneAccess &zone;
        const ControlCalls &control;
        Router &router;
        PinTable &pins;
        TargetConnections &connections;
        Metrics &metrics;
        std::function<const ServingConfiguration &()> configuration;
    };

    RequestPath(boost::asio::any_io_executor executor, Parts parts, DispatchContext::Rendering rendering,
                DispatchContext::Options dispatch, Options options);
    RequestPath(const RequestPath &) = delete;
    RequestPath &operator=(const RequestPath &) = delete;

    /// Starts the tasks that all requests share.
    void start(Supervisor &supervisor);

    /// Answers the request. Precondition: nothing was written to the responder.
    boost::asio::awaitable<void> serve(Call call, HttpRequest outgoing, HttpResponder &responder);

    /// New requests are refused from now on.
    void beginDrain();

    /// Notes suspects that another entry of the zone reported.
    void noteSuspects(const std::vector<std::uint64_t> &fingerprints);

    [[nodiscard]] std::size_t inFlight() const;
    void writeMetrics(Metrics &metrics) const;

private:
    struct Progress;

    boost::asio::awaitable<std::optional<Refusal>> findAndRun(Progress &progress);
    boost::asio::awaitable<std::optional<Refusal>> attempt(Progress &progress, const RouteChoice &choice);
    boost::asio::awaitable<bool> pauseForRetry(Progress &progress, bool mayHaveRun);
    boost::asio::awaitable<void> pause(Progress &progress, milliseconds length);
    [[nodiscard]] std::optional<Refusal> refuseEarly(const Call &call) const;
    [[nodiscard]] RouteChoice route(Progress &progress);
    [[nodiscard]] std::optional<Destination> destinationOf(const RouteChoice &choice);

    boost::asio::any_io_executor m_executor;
    Parts m_parts;
    Options m_options;
    CrashLedger m_crashes;
    BrokenTargets m_broken;
    RetryBudget m_retries;
    CallerWatch m_watch;
    AdmissionGate m_gate;
    LoadWait m_loads;
    DispatchContext m_context;
    std::mt19937_64 m_random;
    bool m_draining = false;
};

} // namespace tamarackcove
