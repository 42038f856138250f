#pragma once

#include "tamarackcove/Fleet/AdmissionFraction.h"
#include "tamarackcove/Fleet/ServiceLoad.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace tamarackcove {

/// Decides at one entry which requests for a service are sent, held or refused while the service is overloaded, so that
/// they wait here instead of in the FIFO queues of servers, where all of them would become late. Without overload, with
/// an old report, or before the service time is known, every request is sent at once.
///
/// Requests that can meet their goal come before those that cannot, then the more urgent before the less urgent ones,
/// then those with less work. Requests that have missed their goal are sent once there is room, the ones with the
/// earliest deadline first.
/// Thread safety: used on one thread.
class AdmissionControl
{
public:
    struct Options
    {
        AdmissionFraction::Options fraction;
        /// With a report older than this everything is sent.
        milliseconds maxReportAge{1000};
        /// Longest hold, as a part of the time that a request has left.
        double maxHold = 0.75;
        /// What a more urgent class keeps of the quota of this entry, in ordinary requests for each class below it.
        double reserve = 1.0;
        /// Part of a class's own share that it gets at least.
        double classFloor = 0.15;
        /// Time over which the requests that have missed their goal are sent when everything is admitted again.
        /// Shorter, they would fill the queues before the next report shows it.
        milliseconds lateReleaseTime{300};
        /// Deducted from the time in which a request can meet its goal, for the way to the caller and the server.
        milliseconds travelMargin{10};
        /// Mean interval between checks of a held request that can meet its goal, and of the others.
        milliseconds onTimeCheck{25};
        milliseconds lateCheck{60};
        /// Limits of the time after which refused callers may come again. Below it, the overload has not ended.
        milliseconds minRetryAfter{300};
        milliseconds maxRetryAfter{2000};
        /// Most requests that are held at one time; each occupies some KB.
        std::size_t maxHeld = 256;
        std::uint64_t seed = 1;
    };
    struct Request
    {
        /// 0 is the most urgent.
        int priority = 0;
        /// Work in units of an ordinary request.
        double weight = 1;
        /// When the caller first sent it, and the time from then on within which an answer, or the first event of a
        /// stream, meets the goal.
        TimePoint firstSentAt;
        milliseconds goal{0};
        TimePoint deadline;
    };
    using Ticket = std::uint64_t;
    enum class Verdict {
        Send,
        Hold,
        Refuse
    };
    enum class Reason {
        /// Nothing is limited.
        Open,
        /// Within the quota of this entry.
        Quota,
        /// Within what each class gets at least.
        ClassFloor,
        /// The request has missed its goal, and there is room for it.
        Room,
        /// The request waits for the quota, or has missed its goal and waits for room.
        Waiting,
        /// The request cannot be answered before its deadline.
        TooLittleTime,
        /// More requests are held before this one than are sent in the time that it may be held.
        TooManyHeld,
        /// The longest hold has ended without room.
        HeldTooLong,
    };
    struct Decision
    {
        Verdict verdict = Verdict::Send;
        Reason reason = Reason::Open;
        /// Of a held request: its name in check() and withdraw(), and when to check again.
        Ticket ticket = 0;
        TimePoint checkAt;
        /// Of a refused request: when there may be room.
        milliseconds retryAfter{0};
    };
    /// What decisions are based on, for logs and metrics.
    struct Inputs
    {
        ServiceLoad load;
        double target = 0;
        double demand = 0;
        double onTimeShare = 1;
        double lateShare = 1;
        Duration serviceTime{0};
        std::size_t held = 0;
    };

    explicit AdmissionControl(Options options);

    /// Notes the load of the service. Called for each report of the leader; more often has no effect.
    void recordLoad(const ServiceLoad &load, TimePoint now);
    /// Notes how long an answered request has occupied a slot, and how long its answer or first event has taken. Both
    /// include waiting at the server, so that they count only while the load is below the slots, apart from the first.
    void recordAnswer(const Request &request, Duration serviceTime, Duration answerTime);

    /// Decides on a request that has arrived. A request that is held must be followed by check() until that returns
    /// another verdict, or by withdraw().
    [[nodiscard]] Decision offer(const Request &request, TimePoint now);
    /// Decides again on a held request. Precondition: the ticket is that of a request that is held or was released.
    [[nodiscard]] Decision check(Ticket ticket, TimePoint now);
    /// Ends the hold of a request whose caller has left.
    void withdraw(Ticket ticket);
    /// Called with each held request that may be sent now, for which check() returns Send.
    std::function<void(Ticket)> onRelease;

    /// Whether requests of the service are limited at present.
    [[nodiscard]] bool limits() const;
    /// Whether an answer to the request would miss its goal, if it were sent now while the service is limited.
    [[nodiscard]] bool missesGoal(const Request &request, TimePoint now) const;
    [[nodiscard]] Inputs inputs() const;

private:
    struct Held
    {
        Ticket ticket = 0;
        Request request;
        TimePoint since;
        TimePoint until;
        /// Set when the request may be sent.
        std::optional<Reason> released;
    };
    /// What is known of the requests of one priority.
    struct Class
    {
        TimePoint lastSeen;
        /// What the class may send beyond the reserves of the more urgent ones, in ordinary requests.
        double floorCredit = 0;
    };

    void openIfReportIsOld(TimePoint now);
    /// Adds what the requests held so far may use of the lateShare().
    void addLateQuota(TimePoint now);
    /// Adds what one more request that can meet its goal brings to the quota.
    void addQuota(const Request &request);
    /// Releases held requests as far as the quota allows, in their order.
    void release(TimePoint now);
    /// Why the request may be sent now; nothing if it may not. Takes what it uses of the quota.
    [[nodiscard]] std::optional<Reason> take(const Request &request, bool late, TimePoint now);
    /// The number of more urgent priorities that requests have had recently.
    [[nodiscard]] int rankOf(int priority, TimePoint now) const;
    /// How long the requests that are sent before this one are expected to take.
    [[nodiscard]] Duration expectedHold(const Held &held, TimePoint now) const;
    /// Whether `a` is sent before `b`.
    [[nodiscard]] bool precedes(const Held &a, const Held &b, TimePoint now) const;
    [[nodiscard]] Decision refuse(Reason reason, Duration expectedWait);
    [[nodiscard]] Decision hold(const Held &held, TimePoint now);
    [[nodiscard]] std::vector<Held>::iterator find(Ticket ticket);
    void noteSent(TimePoint now);

    Options m_options;
    AdmissionFraction m_fraction;
    std::mt19937_64 m_random;
    ServiceLoad m_load;
    TimePoint m_reportedAt;
    /// Moving averages over the recent requests.
    Duration m_serviceTime{0};
    Duration m_answerTime{0};
    Duration m_goal{0};
    double m_meanWeight = 1;
    /// The mean weight of requests in progress, which is higher than that of all requests because large ones take
    /// longer; and the mean product of weight and service time, from which it is computed.
    double m_runningWeight = 1;
    Duration m_weightedTime{0};
    std::size_t m_answers = 0;
    /// What this entry may send, in ordinary requests; negative after a large one.
    double m_credit = 0;
    double m_lateCredit = 0;
    TimePoint m_creditAt;
    /// Requests sent for each second, as a moving average up to the last one.
    double m_sendRate = 0;
    TimePoint m_lastSentAt;
    std::map<int, Class> m_classes;
    std::vector<Held> m_held;
    Ticket m_lastTicket = 0;
};

} // namespace tamarackcove
