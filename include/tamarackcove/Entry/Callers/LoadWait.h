#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Http/CallerWatch.h"
#include "tamarackcove/Requests/Call.h"
#include "tamarackcove/Requests/LoadWaitQueue.h"
#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <map>

namespace tamarackcove {

struct ZoneAccess;

/// Suspends the coroutine of a request until its adapter is loaded, and reports the demand for adapters to the zone
/// coordinator.
///
/// Thread safety: used on the thread of the executor.
class LoadWait
{
public:
    enum class Outcome {
        /// The adapter is resident, Options::rerouteInterval has passed, or the caller has gone. The request must be
        /// routed again unless its caller has gone.
        Reroute,
        /// The queue of waiting requests is full, or a request of higher priority displaced this one.
        Refused,
        TimedOut,
    };

    struct Options
    {
        LoadWaitQueue::Options queue;
        /// A waiting request is routed again after this time, as another zone may hold the adapter by then.
        milliseconds rerouteInterval = seconds(1);
        milliseconds demandReportInterval = milliseconds(100);
        /// How often the zone view is checked for loaded adapters while requests wait. Lengthens a load stall, the time
        /// that a request waits for its adapter to load, by half of this interval on average.
        milliseconds viewCheckInterval = milliseconds(4);
    };

    /// Precondition: zone outlives the object.
    LoadWait(boost::asio::any_io_executor executor, const ZoneAccess &zone, Options options);

    /// Counts a request for the next demand report to the coordinator.
    void noteArrival(const AdapterRef &adapter);

    /// Immediately reports demand for the adapter of the call to the coordinator. Precondition: the call names an
    /// adapter.
    void requestLoad(const Call &call) const;

    /// Waits until the adapter of the call is loaded, at most until the deadline or for Options::rerouteInterval.
    /// Precondition: the call names an adapter.
    boost::asio::awaitable<Outcome> wait(const Call &call, TimePoint deadline, CallerWatch::WatchedRequest &watched);

    /// Wakes the waiting requests whose adapter is loaded and reports demand, until cancelled. Sleeps while no request
    /// waits and no arrival is unreported.
    boost::asio::awaitable<void> run();

    [[nodiscard]] std::size_t waitingRequests() const;

private:
    struct WaitingRequest;

    void wakeRequestsOfLoadedAdapters(TimePoint now);
    void reportDemand(TimePoint now);

    boost::asio::any_io_executor m_executor;
    const ZoneAccess &m_zone;
    Options m_options;
    LoadWaitQueue m_queue;
    std::map<LoadWaitQueue::Ticket, WaitingRequest *> m_waiting;
    std::map<AdapterRef, int> m_arrivals;
    TimePoint m_demandReportedAt;
    /// Wakes run() to check the zone view and to report demand. Does not expire while no request waits and no arrival
    /// is unreported; the first request or arrival cancels it.
    Timer m_runTimer;
};

} // namespace tamarackcove
