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

/// Admission control of an entry: bounds the number of requests in progress and keeps the others in a bounded priority
/// queue.
///
/// Running requests and queued requests each occupy a place. A service that occupies more than its share of the places
/// (Offer::sharePercent) may use places that other services leave free, except for a reserve that only services below
/// their share may take. The reserve keeps one busy service, whether a customer's or a plain one, from filling the
/// entry for the others. The priority of a queued request rises by one level per age step, so that no request starves.
///
/// Thread safety: used on one thread.
class Admission
{
public:
    using Ticket = std::uint64_t;

    struct Options
    {
        /// Maximum number of admitted requests.
        int maxRunning = 2048;
        /// Maximum number of queued requests.
        int maxQueued = 1024;
        /// Part of the running places and of the queue places that only services below their share may take, in
        /// percent.
        int reservePercent = 10;
        /// The priority of a queued request rises by one level each time it has spent this long in the queue.
        milliseconds ageStep = milliseconds(500);
        milliseconds minRetryAfter = seconds(1);
        milliseconds maxRetryAfter = seconds(30);
    };

    enum class Verdict {
        Admitted,
        Queued,
        Refused,
    };

    /// A request that asks for admission.
    struct Offer
    {
        ServiceName service;
        Priority priority = Priority::Normal;
        /// Share of the running places and of the queue places that the service is entitled to, in percent.
        int sharePercent = 50;
        TimePoint deadline = TimePoint::max();
    };

    struct Decision
    {
        Verdict verdict = Verdict::Refused;
        /// Identifies the admitted or queued request; 0 if refused.
        Ticket ticket = 0;
        /// Set if the request is refused or queued; see Admission::retryAfter().
        milliseconds retryAfter{0};
        /// A queued request of lower priority that was removed to make room for this one; the caller must refuse it.
        std::optional<Ticket> displaced;
    };

    explicit Admission(Options options);

    /// Admits, queues or refuses a request.
    [[nodiscard]] Decision offer(const Offer &offer, TimePoint now);

    /// Ends an admitted request or removes a queued one. Does nothing for an unknown ticket.
    void finish(Ticket ticket, TimePoint now);

    /// Admits queued requests while there are free places and returns their tickets in the order of admission: services
    /// below their share first, then by aged priority.
    [[nodiscard]] std::vector<Ticket> admitNext(TimePoint now);

    /// Time after which a refused caller should retry: the estimated time to serve the current queue at the current
    /// completion rate, between minRetryAfter and maxRetryAfter.
    [[nodiscard]] milliseconds retryAfter() const;

    [[nodiscard]] int running() const;
    [[nodiscard]] int queued() const;

private:
    struct QueuedRequest
    {
        Ticket ticket = 0;
        Offer offer;
        TimePoint queuedAt;
    };

    struct Usage
    {
        int running = 0;
        int queued = 0;
    };

    [[nodiscard]] bool mayRun(const Offer &offer) const;
    [[nodiscard]] bool mayQueue(const Offer &offer) const;
    [[nodiscard]] bool belowShare(const Offer &offer) const;
    /// The priority of a queued request, raised by one level per age step in the queue.
    [[nodiscard]] std::int64_t agedPriority(const QueuedRequest &waiting, TimePoint now) const;
    std::optional<Ticket> displaceFor(const Offer &offer, TimePoint now);
    void startRequest(Ticket ticket, const Offer &offer);
    void removeUsageIfIdle(const ServiceName &service);
    void noteCompletion(TimePoint now);

    Options m_options;
    Ticket m_lastTicket = 0;
    std::map<Ticket, ServiceName> m_running;
    std::list<QueuedRequest> m_queue;
    std::map<ServiceName, Usage> m_usage;
    TimePoint m_lastCompletionAt;
    /// Exponentially smoothed time between two completions.
    std::chrono::duration<double> m_completionInterval{0.0};
};

} // namespace tamarackcove
