#include "tamarackcove/Entry/Callers/LoadWait.h"

#include "tamarackcove/Entry/ZoneAccess.h"
#include "tamarackcove/Targets/ZoneView.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace asio = boost::asio;

namespace tamarackcove {

/// One waiting request; leaves the room when its task ends first.
struct LoadWait::Waiting
{
    Waiting(LoadWait &owner, WaitingRoom::Ticket ownTicket, TimePoint until)
        : wait(owner)
        , ticket(ownTicket)
        , timer(owner.m_executor, until)
    {
        wait.m_waiting.emplace(ticket, this);
    }
    ~Waiting()
    {
        wait.m_room.leave(ticket);
        wait.m_waiting.erase(ticket);
    }
    Waiting(const Waiting &) = delete;
    Waiting &operator=(const Waiting &) = delete;

    LoadWait &wait;
    WaitingRoom::Ticket ticket;
    asio::steady_timer timer;
    bool displaced = false;
};

LoadWait::LoadWait(asio::any_io_executor executor, const ZoneAccess &zone, Options options)
    : m_executor(std::move(executor))
    , m_zone(zone)
    , m_options(options)
    , m_room(options.room)
    , m_work(m_executor, TimePoint::max())
{
}

void LoadWait::noteArrival(const AdapterRef &adapter)
{
    if (m_arrivals.empty() && m_room.size() == 0) {
        m_work.cancel();
    }
    ++m_arrivals[adapter];
}

void LoadWait::request(const Call &call) const
{
    LoadDemand demand;
    demand.adapter = *call.adapter;
    demand.waiting = 1;
    demand.highest = call.priority;
    demand.oldestWait = duration_cast<milliseconds>(Clock::now() - call.received);
    m_zone.demand(demand);
}

asio::awaitable<LoadWait::Outcome> LoadWait::wait(const Call &call, TimePoint deadline, CallerWatch::Watched &watched)
{
    const auto now = Clock::now();
    if (m_room.size() == 0) {
        m_work.cancel();
    }
    WaitingRoom::Waiter waiter;
    waiter.adapter = *call.adapter;
    waiter.priority = call.priority;
    waiter.since = call.received;
    waiter.deadline = deadline;
    const auto entry = m_room.enter(waiter, now);
    if (entry.displaced) {
        auto *displaced = m_waiting.at(*entry.displaced);
        displaced->displaced = true;
        displaced->timer.cancel();
    }
    if (!entry.ticket) {
        co_return Outcome::Refused;
    }
    Waiting waiting(*this, *entry.ticket, std::min(deadline, now + m_options.recheck));
    if (entry.first) {
        // The load starts at once; the repeated reports follow.
        request(call);
    }
    watched.timer = &waiting.timer;
    boost::system::error_code ignored;
    co_await waiting.timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    watched.timer = nullptr;
    if (waiting.displaced) {
        co_return Outcome::Refused;
    }
    co_return Clock::now() >= deadline ? Outcome::TimedOut : Outcome::Continue;
}

asio::awaitable<void> LoadWait::run()
{
    while (true) {
        boost::system::error_code ignored;
        if (m_room.size() == 0 && m_arrivals.empty()) {
            m_work.expires_at(TimePoint::max());
            co_await m_work.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        m_work.expires_after(m_room.size() == 0 ? m_options.demandInterval : m_options.viewInterval);
        co_await m_work.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        const auto now = Clock::now();
        releaseLoaded(now);
        if (now - m_reportedAt >= m_options.demandInterval) {
            reportDemand(now);
        }
    }
}

void LoadWait::releaseLoaded(TimePoint now)
{
    for (const auto &adapter : m_room.adapters()) {
        const auto holders = m_zone.view().holders(adapter);
        const bool loaded = std::any_of(holders.begin(), holders.end(), [](const TargetView *target) {
            return target->health != TargetHealth::Leaving;
        });
        if (!loaded) {
            continue;
        }
        // Cancelled timers run their requests in this order.
        for (const auto ticket : m_room.release(adapter, now)) {
            m_waiting.at(ticket)->timer.cancel();
        }
    }
}

void LoadWait::reportDemand(TimePoint now)
{
    m_reportedAt = now;
    for (auto &demand : m_room.demand(now)) {
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

std::size_t LoadWait::waiting() const
{
    return m_room.size();
}

} // namespace tamarackcove
