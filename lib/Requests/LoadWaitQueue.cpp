#include "tamarackcove/Requests/LoadWaitQueue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace tamarackcove {

LoadWaitQueue::LoadWaitQueue(Options options)
    : m_options(options)
{
}

std::int64_t LoadWaitQueue::agedPriority(const Waiter &waiter, TimePoint now) const
{
    return static_cast<std::int64_t>(waiter.priority) + (now - waiter.receivedAt) / m_options.ageStep;
}

LoadWaitQueue::EnqueueResult LoadWaitQueue::enqueue(const Waiter &waiter, TimePoint now)
{
    EnqueueResult result;
    const auto ownQueue = m_queues.find(waiter.adapter);
    const bool adapterFull
        = ownQueue != m_queues.end() && std::cmp_greater_equal(ownQueue->second.size(), m_options.maxPerAdapter);
    if (adapterFull || std::cmp_greater_equal(size(), m_options.maxWaiting)) {
        result.displaced = displaceFor(waiter, adapterFull, now);
        if (!result.displaced) {
            return result;
        }
    }
    result.first = !m_queues.contains(waiter.adapter);
    result.ticket = ++m_lastTicket;
    m_queues[waiter.adapter].emplace(*result.ticket, waiter);
    m_adapterOf.emplace(*result.ticket, waiter.adapter);
    return result;
}

std::optional<LoadWaitQueue::Ticket> LoadWaitQueue::displaceFor(const Waiter &waiter, bool sameAdapter, TimePoint now)
{
    std::optional<Ticket> lowest;
    auto lowestLevel = agedPriority(waiter, now);
    for (const auto &[adapter, queue] : m_queues) {
        if (sameAdapter && adapter != waiter.adapter) {
            continue;
        }
        for (const auto &[ticket, waiting] : queue) {
            if (agedPriority(waiting, now) < lowestLevel) {
                lowestLevel = agedPriority(waiting, now);
                lowest = ticket;
            }
        }
    }
    if (lowest) {
        remove(*lowest);
    }
    return lowest;
}

void LoadWaitQueue::remove(Ticket ticket)
{
    const auto found = m_adapterOf.find(ticket);
    if (found == m_adapterOf.end()) {
        return;
    }
    const auto queue = m_queues.find(found->second);
    queue->second.erase(ticket);
    if (queue->second.empty()) {
        m_queues.erase(queue);
    }
    m_adapterOf.erase(found);
}

std::vector<LoadWaitQueue::Ticket> LoadWaitQueue::release(const AdapterRef &adapter, TimePoint now)
{
    const auto queue = m_queues.find(adapter);
    if (queue == m_queues.end()) {
        return {};
    }
    std::vector<std::tuple<std::int64_t, TimePoint, TimePoint, Ticket>> order;
    for (const auto &[ticket, waiter] : queue->second) {
        order.emplace_back(-agedPriority(waiter, now), waiter.deadline, waiter.receivedAt, ticket);
        m_adapterOf.erase(ticket);
    }
    m_queues.erase(queue);
    std::sort(order.begin(), order.end());
    std::vector<Ticket> released;
    released.reserve(order.size());
    for (const auto &entry : order) {
        released.push_back(std::get<Ticket>(entry));
    }
    return released;
}

std::vector<LoadWaitQueue::Ticket> LoadWaitQueue::expire(TimePoint now)
{
    std::vector<Ticket> expired;
    for (const auto &[adapter, queue] : m_queues) {
        for (const auto &[ticket, waiter] : queue) {
            if (waiter.deadline <= now) {
                expired.push_back(ticket);
            }
        }
    }
    for (const auto ticket : expired) {
        remove(ticket);
    }
    return expired;
}

std::vector<LoadDemand> LoadWaitQueue::demand(TimePoint now) const
{
    std::vector<LoadDemand> demands;
    demands.reserve(m_queues.size());
    for (const auto &[adapter, queue] : m_queues) {
        LoadDemand demand;
        demand.adapter = adapter;
        demand.highest = Priority::Low;
        for (const auto &[ticket, waiter] : queue) {
            ++demand.waiting;
            demand.highest = std::max(demand.highest, waiter.priority);
            demand.oldestWait = std::max(demand.oldestWait, duration_cast<milliseconds>(now - waiter.receivedAt));
        }
        demands.push_back(std::move(demand));
    }
    return demands;
}

std::vector<AdapterRef> LoadWaitQueue::adapters() const
{
    std::vector<AdapterRef> adapters;
    adapters.reserve(m_queues.size());
    for (const auto &[adapter, queue] : m_queues) {
        adapters.push_back(adapter);
    }
    return adapters;
}

std::size_t LoadWaitQueue::size() const
{
    return m_adapterOf.size();
}

} // namespace tamarackcove
