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

/// Requests that wait for an adapter to be loaded. All requests for one adapter share one load.
///
/// Bounded over all adapters and for each, so that one popular adapter cannot take every place. A waiting request
/// gains one priority level per age step.
/// Thread safety: used on one thread.
class WaitingRoom
{
public:
    using Ticket = std::uint64_t;

    struct Options
    {
        int maxWaiting = 4096;
        int maxPerAdapter = 512;
        milliseconds ageStep = milliseconds(500);
    };

    struct Waiter
    {
        AdapterRef adapter;
        Priority priority = Priority::Normal;
        /// When the request was received; a request that comes back keeps its age.
        TimePoint since;
        TimePoint deadline = TimePoint::max();
    };

    struct Entry
    {
        /// Nothing when the room is full; the request is refused.
        std::optional<Ticket> ticket;
        /// Whether the request is the first for its adapter, which asks for the load.
        bool first = false;
        /// A waiting request of lower priority that gave up its place; it is refused.
        std::optional<Ticket> displaced;
    };

    explicit WaitingRoom(Options options);

    [[nodiscard]] Entry enter(const Waiter &waiter, TimePoint now);
    /// Takes a request out that gave up. Does nothing for an unknown ticket.
    void leave(Ticket ticket);
    /// Takes all requests for the adapter out, the most urgent first: by aged priority, then deadline, then arrival.
    [[nodiscard]] std::vector<Ticket> release(const AdapterRef &adapter, TimePoint now);
    /// Takes out the requests whose deadline has passed.
    [[nodiscard]] std::vector<Ticket> expire(TimePoint now);

    /// What waits, one entry an adapter.
    [[nodiscard]] std::vector<LoadDemand> demand(TimePoint now) const;
    [[nodiscard]] std::vector<AdapterRef> adapters() const;
    [[nodiscard]] std::size_t size() const;

private:
    using Queue = std::map<Ticket, Waiter>;

    [[nodiscard]] std::int64_t level(const Waiter &waiter, TimePoint now) const;
    std::optional<Ticket> displaceFor(const Waiter &waiter, bool sameAdapter, TimePoint now);

    Options m_options;
    Ticket m_lastTicket = 0;
    std::map<AdapterRef, Queue> m_queues;
    std::map<Ticket, AdapterRef> m_adapterOf;
};

} // namespace tamarackcove
