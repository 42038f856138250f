#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Priority.h"
#include "tamarackcove/Base/Time.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <vector>

namespace tamarackcove {

/// Decides which requests an entry works on: at most so many at once, the others in a bounded queue by priority.
///
/// A service above its share may use what others leave free, up to a reserve that only services below their share
/// may take. So neither a busy customer nor the plain services find the entry full. A queued request gains one
/// priority level per age step, so that none waits for ever.
/// Thread safety: used on one thread.
class Admission
{
public:
    using Ticket = std::uint64_t;

    struct Options
    {
        int maxRunning = 2048;
        int maxQueued = 1024;
        /// Part of the running and of the queue places that only services below their share may take, in percent.
        int reservePercent = 10;
        milliseconds ageStep = milliseconds(500);
        milliseconds minRetryAfter = seconds(1);
        milliseconds maxRetryAfter = seconds(30);
    };

    enum class Verdict {
        Admitted,
        Queued,
        Refused,
    };

    struct Offer
    {
        ServiceName service;
        Priority priority = Priority::Normal;
        int sharePercent = 50;
        TimePoint deadline = TimePoint::max();
    };

    struct Decision
    {
        Verdict verdict = Verdict::Refused;
        Ticket ticket = 0;
        /// Set when refused.
        milliseconds retryAfter{0};
        /// A queued request of lower priority that gave up its place to this one; it is refused.
        std::optional<Ticket> displaced;
    };

    explicit Admission(Options options);

    [[nodiscard]] Decision offer(const Offer &offer, TimePoint now);

    /// Ends an admitted request, or takes a queued one out. Does nothing for an unknown ticket.
    void finish(Ticket ticket, TimePoint now);

    /// Admits queued requests into free places and returns them, the most urgent first.
    [[nodiscard]] std::vector<Ticket> admitNext(TimePoint now);

    /// When a refused caller may come again: the time the present queue needs at the present rate.
    [[nodiscard]] milliseconds retryAfter() const;

    [[nodiscard]] int running() const;
    [[nodiscard]] int queued() const;

private:
    struct Waiting
    {
        Ticket ticket = 0;
        Offer offer;
        TimePoint since;
    };

    struct Usage
    {
        int running = 0;
        int queued = 0;
    };

    [[nodiscard]] bool mayRun(const Offer &offer) const;
    [[nodiscard]] bool mayQueue(const Offer &offer) const;
    [[nodiscard]] bool belowShare(const Offer &offer) const;
    [[nodiscard]] std::int64_t level(const Waiting &waiting, TimePoint now) const;
    std::optional<Ticket> displaceFor(const Offer &offer, TimePoint now);
    void start(Ticket ticket, const Offer &offer);
    void forgetIdle(const ServiceName &service);
    void noteCompletion(TimePoint now);

    Options m_options;
    Ticket m_lastTicket = 0;
    std::map<Ticket, ServiceName> m_running;
    std::list<Waiting> m_queue;
    std::map<ServiceName, Usage> m_usage;
    TimePoint m_lastCompletion;
    /// Smoothed time between two completions.
    std::chrono::duration<double> m_interval{0.0};
};

} // namespace tamarackcove
