#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Http/CallerWatch.h"
#include "tamarackcove/Requests/Call.h"
#include "tamarackcove/Requests/WaitingRoom.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>

namespace tamarackcove {

struct ZoneAccess;

/// Lets the task of a request wait until its adapter is loaded, and tells the zone coordinator what is wanted.
///
/// Thread safety: used on the thread of the executor.
class LoadWait
{
public:
    enum class Outcome {
        /// The adapter is resident, or it is time to look for another way.
        Continue,
        /// The room is full, or a request of higher priority took the place.
        Refused,
        TimedOut,
    };

    struct Options
    {
        WaitingRoom::Options room;
        /// The zone choice is made anew after this time, as another zone may hold the adapter by then.
        milliseconds recheck = seconds(1);
        milliseconds demandInterval = milliseconds(100);
        /// How often the view is read while requests wait; adds half of itself to a load stall.
        milliseconds viewInterval = milliseconds(4);
    };

    /// Precondition: zone outlives the object.
    LoadWait(boost::asio::any_io_executor executor, const ZoneAccess &zone, Options options);

    /// Counts a request for the demand that the coordinator hears of.
    void noteArrival(const AdapterRef &adapter);

    /// Tells the coordinator at once that the call wants its adapter. Precondition: the call names one.
    void request(const Call &call) const;

    /// Waits for the adapter of the call. Precondition: the call names one.
    boost::asio::awaitable<Outcome> wait(const Call &call, TimePoint deadline, CallerWatch::Watched &watched);

    /// Releases waiting requests and reports demand until cancelled; does nothing while there is neither.
    boost::asio::awaitable<void> run();

    [[nodiscard]] std::size_t waiting() const;

private:
    struct Waiting;

    void releaseLoaded(TimePoint now);
    void reportDemand(TimePoint now);

    boost::asio::any_io_executor m_executor;
    const ZoneAccess &m_zone;
    Options m_options;
    WaitingRoom m_room;
    std::map<WaitingRoom::Ticket, Waiting *> m_waiting;
    std::map<AdapterRef, int> m_arrivals;
    TimePoint m_reportedAt;
    /// Never expires while there is nothing to do; cancelled at the first request.
    boost::asio::steady_timer m_work;
};

} // namespace tamarackcove
