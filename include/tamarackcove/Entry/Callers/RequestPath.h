#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Entry/Callers/AdmissionGate.h"
#include "tamarackcove/Entry/Callers/LoadWait.h"
#include "tamarackcove/Entry/Targets/Destination.h"
#include "tamarackcove/Entry/Targets/DispatchContext.h"
#include "tamarackcove/Http/CallerWatch.h"
#include "tamarackcove/Requests/CrashLedger.h"
#include "tamarackcove/Requests/RetryBudget.h"
#include "tamarackcove/Requests/UnreachableTargets.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <random>
#include <set>

namespace tamarackcove {

class HttpResponder;
class PinTable;
class RequestLifecycle;
class Router;
class Supervisor;
class TargetCall;
struct Call;
struct HttpRequest;
struct RouteChoice;
struct ServingConfiguration;

/// Serves requests that the front end has parsed: admits each request, chooses a target, waits for an adapter load,
/// dispatches, retries and answers. Does not depend on the encoding that callers use.
///
/// Thread safety: used on the thread of the executor.
class RequestPath
{
public:
    struct Options
    {
        Admission::Options admission;
        LoadWait::Options loadWait;
        RetryBudget::Options retries;
        CrashLedger::Options crashes;
        /// Limit on the attempts of one request that may have run or were forwarded to another zone.
        int maxCountedAttempts = 4;
        /// Limit on all attempts of one request. Attempts that did not run are cheap and cover the time until the view
        /// no longer shows a target that went down; with the backoff they last about four seconds.
        int maxTotalAttempts = 12;
        /// No attempt starts later than this after the receipt of the request, nor after its deadline.
        milliseconds maxTargetWait = seconds(30);
        /// Pause before a request is routed again when no target could take the request.
        milliseconds rerouteDelay = milliseconds(20);
        std::uint64_t seed = 1;
    };

    /// The other components of the entry that requests use. All must outlive the RequestPath.
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

    /// Answers the request, unless its caller disconnects first. Precondition: nothing was written to the responder.
    boost::asio::awaitable<void> serve(Call call, HttpRequest outgoing, HttpResponder &responder);

    /// Refuses requests from callers from now on; requests forwarded by other entries are still served.
    void beginDrain();

    /// Records a crash that another entry of the zone has reported, with the requests that it had in flight there.
    void noteReportedCrash(const TargetId &target, Incarnation incarnation,
                           const std::vector<std::uint64_t> &fingerprints);

    [[nodiscard]] std::size_t inFlight() const;
    void writeMetrics(Metrics &metrics) const;

private:
    struct Progress;

    boost::asio::awaitable<std::optional<Refusal>> routeAndDispatch(Progress &progress);
    boost::asio::awaitable<std::optional<Refusal>> runAttempt(Progress &progress, const RouteChoice &choice);
    /// Waits for the backoff before the next attempt. Returns false without waiting if the last attempt may have run
    /// and the retry budget is exhausted.
    boost::asio::awaitable<bool> pauseForRetry(Progress &progress, bool mayHaveRun);
    boost::asio::awaitable<void> pause(Progress &progress, milliseconds length);
    [[nodiscard]] std::optional<Refusal> refusalBeforeAdmission(const Call &call) const;
    [[nodiscard]] RouteChoice route(Progress &progress);
    [[nodiscard]] std::optional<Destination> destinationOf(const RouteChoice &choice);

    boost::asio::any_io_executor m_executor;
    Parts m_parts;
    Options m_options;
    CrashLedger m_crashes;
    UnreachableTargets m_unreachable;
    RetryBudget m_retries;
    CallerWatch m_callerWatch;
    AdmissionGate m_admissionGate;
    LoadWait m_loadWait;
    DispatchContext m_context;
    std::mt19937_64 m_random;
    bool m_draining = false;
};

} // namespace tamarackcove
