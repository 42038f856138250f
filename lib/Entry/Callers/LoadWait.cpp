#include "tamarackcove/Entry/Callers/LoadWait.h"

#include "tamarackcove/Entry/ZoneAccess.h"
#include "tamarackcove/Targets/ZoneView.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace asio = boost::asio;

namespace tamarackcove {

/// One waiting request; removes itself from the queue if its coroutine ends before the queue releases the request.
struct LoadWait::WaitingRequest
{
    WaitingRequest(LoadWait &owner, LoadWaitQueue::Ticket ownTicket, TimePoint until)
        : loadWait(owner)
        , ticket(ownTicket)
        , timer(owner.m_executor, until)
    {
        loadWait.m_waiting.emplace(ticket, this);
    }
    ~WaitingRequest()
    {
        loadWait.m_queue.remove(ticket);
        loadWait.m_waiting.erase(ticket);
    }
    WaitingRequest(const WaitingRequest &) = delete;
    WaitingRequest &operator=(const WaitingRequest &) = delete;

    LoadWait &loadWait;
    LoadWaitQueue::Ticket ticket;
    Timer timer;
    bool displaced = false;
};

LoadWait::LoadWait(asio::any_io_executor executor, const ZoneAccess &zone, Options options)
    : m_executor(std::move(executor))
    , m_zone(zone)
    , m_options(options)
    , m_queue(options.queue)
    , m_runTimer(m_executor, TimePoint::max())
{
}

void LoadWait::noteArrival(const AdapterRef &adapter)
{
    if (m_arrivals.empty() && m_queue.size() == 0) {
        m_runTimer.cancel();
    }
    ++m_arrivals[adapter];
}

void LoadWait::requestLoad(const Call &call) const
{
    LoadDemand demand;
    demand.adapter = *call.adapter;
    demand.waiting = 1;
    demand.highest = call.priority;
    demand.oldestWait = duration_cast<milliseconds>(Clock::now() - call.received);
    m_zone.demand(demand);
}

asio::awaitable<LoadWait::Outcome> LoadWait::wait(const Call &call, TimePoint deadline,
                                                  CallerWatch::WatchedRequest &watched)
{
    const auto now = Clock::now();
    if (m_queue.size() == 0) {
        m_runTimer.cancel();
    }
    LoadWaitQueue::Waiter waiter;
    waiter.adapter = *call.adapter;
    waiter.priority = call.priority;
    waiter.receivedAt = call.received;
    waiter.deadline = deadline;
    const auto entry = m_queue.enqueue(waiter, now);
    if (entry.displaced) {
        auto *displaced = m_waiting.at(*entry.displaced);
        displaced->displaced = true;
        displaced->timer.cancel();
    }
    if (!entry.ticket) {
        co_return Outcome::Refused;
    }
    WaitingRequest waiting(*this, *entry.ticket, std::min(deadline, now + m_options.rerouteInterval));
    if (entry.first) {
        // Requests the adapter load without waiting for the next demand report of run().
        requestLoad(call);
    }
    watched.timer = &waiting.timer;
    boost::system::error_code ignored;
    co_await waiting.timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    watched.timer = nullptr;
    if (waiting.displaced) {
        co_return Outcome::Refused;
    }
    co_return Clock::now() >= deadline ? Outcome::TimedOut : Outcome::Reroute;
}

asio::awaitable<void> LoadWait::run()
{
    while (true) {
        boost::system::error_code ignored;
        if (m_queue.size() == 0 && m_arrivals.empty()) {
            m_runTimer.expires_at(TimePoint::max());
            co_await m_runTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        m_runTimer.expires_after(m_queue.size() == 0 ? m_options.demandReportInterval : m_options.viewCheckInterval);
        co_await m_runTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        const auto now = Clock::now();
        wakeRequestsOfLoadedAdapters(now);
        if (now - m_demandReportedAt >= m_options.demandReportInterval) {
            reportDemand(now);
        }
    }
}

void LoadWait::wakeRequestsOfLoadedAdapters(TimePoint now)
{
    for (const auto &adapter : m_queue.adapters()) {
        const auto holders = m_zone.view().holders(adapter);
        const bool loaded = std::any_of(holders.begin(), holders.end(), [](const TargetView *target) {
            return target->health != TargetHealth::Leaving;
        });
        if (!loaded) {
            continue;
        }
        // The requests resume in the order in which their timers are cancelled: the most urgent first.
        for (const auto ticket : m_queue.release(adapter, now)) {
            m_waiting.at(ticket)->timer.cancel();
        }
    }
}

void LoadWait::reportDemand(TimePoint now)
{
    m_demandReportedAt = now;
    for (auto &demand : m_queue.demand(now)) {
        if (const auto arrivals = m_arrivals.find(demand.adapter); arrivals != m_arrivals.end()) {
            demand.arrivals = arrivals->second;
            m_arrivals.erase(arrivals);
        }
        m_zone.demand(demand);
    }
    for (const auto &[adapter, count] : m_arrivals) {
        LoadDemand demand;
        demand.adapter = adapter;
        demand.arrivals = count;
        m_zone.demand(demand);
    }
    m_arrivals.clear();
}

std::size_t LoadWait::waitingRequests() const
{
    return m_queue.size();
}

} // namespace tamarackcove
