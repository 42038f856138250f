#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Priority.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Residency/LoadDemand.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace tamarackcove {

/// Queue of the requests that wait for an adapter to be loaded. All requests for one adapter share one load.
///
/// The number of waiting requests is bounded in total and for each adapter, so that one popular adapter cannot take all
/// places. The priority of a waiting request rises by one level per age step.
/// Thread safety: used on one thread.
class LoadWaitQueue
{
public:
    using Ticket = std::uint64_t;

    struct Options
    {
        int maxWaiting = 4096;
        int maxPerAdapter = 512;
        /// The priority of a waiting request rises by one level for each such period since its receipt.
        milliseconds ageStep = milliseconds(500);
    };

    struct Waiter
    {
        AdapterRef adapter;
        Priority priority = Priority::Normal;
        /// When the entry received the request. A request that waits for a second load keeps this time.
        TimePoint receivedAt;
        TimePoint deadline = TimePoint::max();
    };

    struct EnqueueResult
    {
        /// No value if the queue is full and no waiting request has a lower priority; the caller must refuse the
        /// request.
        std::optional<Ticket> ticket;
        /// Whether no other request waits for this adapter; the caller then requests the load.
        bool first = false;
        /// A waiting request of lower priority that was removed to make room; the caller must refuse it.
        std::optional<Ticket> displaced;
    };

    explicit LoadWaitQueue(Options options);

    /// Adds a request, in place of a waiting one of lower aged priority if the queue is full.
    [[nodiscard]] EnqueueResult enqueue(const Waiter &waiter, TimePoint now);
    /// Removes a request that no longer waits. Does nothing for an unknown ticket.
    void remove(Ticket ticket);
    /// Removes all requests for the adapter and returns their tickets in order of aged priority, then deadline, then
    /// arrival.
    [[nodiscard]] std::vector<Ticket> release(const AdapterRef &adapter, TimePoint now);
    /// Removes the requests whose deadline has passed and returns their tickets.
    [[nodiscard]] std::vector<Ticket> expire(TimePoint now);

    /// Returns the demand of the waiting requests, one element for each adapter. `arrivals` is not set.
    [[nodiscard]] std::vector<LoadDemand> demand(TimePoint now) const;
    /// Returns the adapters that requests wait for.
    [[nodiscard]] std::vector<AdapterRef> adapters() const;
    /// Number of waiting requests.
    [[nodiscard]] std::size_t size() const;

private:
    using Queue = std::map<Ticket, Waiter>;

    /// The priority of a waiting request, raised by one level per age step of its age.
    [[nodiscard]] std::int64_t agedPriority(const Waiter &waiter, TimePoint now) const;
    std::optional<Ticket> displaceFor(const Waiter &waiter, bool sameAdapter, TimePoint now);

    Options m_options;
    Ticket m_lastTicket = 0;
    std::map<AdapterRef, Queue> m_queues;
    std::map<Ticket, AdapterRef> m_adapterOf;
};

} // namespace tamarackcove
