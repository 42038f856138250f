#include "tamarackcove/Fleet/AdmissionControl.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace tamarackcove {

/// Answers after which the service time is known well enough. Before that the queues of servers do not show up in it.
static constexpr std::size_t MinAnswers = 32;
/// Weight of one request in the moving averages, over some hundred requests.
static constexpr double AverageWeight = 0.01;
/// Part of the slots in use below which an answer shows the service time without waiting.
static constexpr double CalmLoad = 0.8;
/// How long a priority counts as in use after its last request.
static constexpr seconds ClassLifetime{10};
/// The requests of a moment that may be sent without waiting for more quota, besides the reserves.
static constexpr double Burst = 1.0;
/// Most that a large request leaves to smaller ones before it is sent, in ordinary requests.
static constexpr double MaxSizeReserve = 1.0;
/// Largest debt of the quota, in ordinary requests: a request of 9,190 tokens costs about 6.
static constexpr double MaxDebt = 8.0;
/// Time constant of the rate at which requests are sent.
static constexpr seconds RateTime{1};
/// Largest random addition to the time after which refused callers may come again, as a part of it, so that they do not
/// return together.
static constexpr double RetrySpread = 0.5;

AdmissionControl::AdmissionControl(Options options)
    : m_options(options)
    , m_fraction(options.fraction)
    , m_random(options.seed)
{
    // Entries that start with the same quota would send their first requests together.
    std::uniform_real_distribution<double> draw(0, 1);
    m_credit = draw(m_random);
    m_lateCredit = draw(m_random);
}

void AdmissionControl::recordLoad(const ServiceLoad &load, TimePoint now)
{
    m_load = load;
    m_reportedAt = now - load.reportAge;
    openIfReportIsOld(now);
    if (load.reportAge > m_options.maxReportAge || m_answers < MinAnswers) {
        return;
    }
    // The load counts weights, and servers count requests.
    m_fraction.update({.inProgress = load.inProgress / m_runningWeight,
                       .slots = load.slots,
                       .serviceTime = m_serviceTime,
                       .goalMargin = m_goal - m_answerTime},
                      now);
}

void AdmissionControl::openIfReportIsOld(TimePoint now)
{
    if (now > m_reportedAt + m_options.maxReportAge) {
        m_fraction.reset();
    }
}

void AdmissionControl::recordAnswer(const Request &request, Duration serviceTime, Duration answerTime)
{
    const bool known = m_answers >= MinAnswers;
    const auto part = std::max(AverageWeight, 1.0 / static_cast<double>(m_answers + 1));
    m_meanWeight += part * (request.weight - m_meanWeight);
    if (known && m_load.inProgress > CalmLoad * m_load.slots * m_runningWeight) {
        return;
    }
    m_weightedTime += duration_cast<Duration>(part * (request.weight * serviceTime - m_weightedTime));
    m_serviceTime += duration_cast<Duration>(part * (serviceTime - m_serviceTime));
    m_serviceTime = std::max<Duration>(m_serviceTime, milliseconds(1));
    m_runningWeight = std::max(m_weightedTime / std::chrono::duration<double, Duration::period>(m_serviceTime), 0.1);
    m_answerTime += duration_cast<Duration>(part * (answerTime - m_answerTime));
    m_goal += duration_cast<Duration>(part * (request.goal - m_goal));
    ++m_answers;
}

bool AdmissionControl::limits() const
{
    return m_fraction.limits();
}

bool AdmissionControl::missesGoal(const Request &request, TimePoint now) const
{
    // At the target, requests wait at servers for the part of the service time by which it exceeds the slots.
    const double queue = m_load.slots == 0 ? 0 : std::max(0.0, m_fraction.target() / m_load.slots - 1);
    const auto needed = m_answerTime + duration_cast<Duration>(queue * m_serviceTime) + m_options.travelMargin;
    // Without a goal that servers can meet, requests that have just arrived come first.
    const auto goal = std::max<Duration>(request.goal, needed + needed / 4);
    return now + needed > request.firstSentAt + goal;
}

int AdmissionControl::rankOf(int priority, TimePoint now) const
{
    return static_cast<int>(std::count_if(m_classes.begin(), m_classes.lower_bound(priority), [&](const auto &item) {
        return item.second.lastSeen + ClassLifetime > now;
    }));
}

void AdmissionControl::addLateQuota(TimePoint now)
{
    const auto elapsed = std::chrono::duration<double>(now - std::exchange(m_creditAt, now));
    const auto late = std::count_if(m_held.begin(), m_held.end(),
                                    [&](const Held &held) { return !held.released && missesGoal(held.request, now); });
    m_lateCredit = std::min(
        1.0, m_lateCredit + m_fraction.lateShare() * static_cast<double>(late) * (elapsed / m_options.lateReleaseTime));
}

void AdmissionControl::addQuota(const Request &request)
{
    const double added = m_fraction.onTimeShare() * request.weight / m_meanWeight;
    const auto classes = static_cast<double>(m_classes.size());
    m_credit = std::min(m_credit + added, 1 + Burst + MaxSizeReserve + m_options.reserve * (classes - 1));
    auto &floorCredit = m_classes[request.priority].floorCredit;
    floorCredit = std::min(floorCredit + m_options.classFloor * added, 1.0);
}

std::optional<AdmissionControl::Reason> AdmissionControl::take(const Request &request, bool late, TimePoint now)
{
    const double cost = request.weight / m_meanWeight;
    if (late) {
        if (m_lateCredit < 1) {
            return std::nullopt;
        }
        m_lateCredit -= cost;
        return Reason::Room;
    }
    auto &floorCredit = m_classes[request.priority].floorCredit;
    // A large request needs only a little more quota than a small one, so that it does not starve, but leaves less for
    // those that follow.
    const double sizeReserve = std::clamp((cost - 1) / 2, 0.0, MaxSizeReserve);
    const bool withinQuota = m_fraction.onTimeShare() >= 1
        || m_credit >= 1 + sizeReserve + m_options.reserve * rankOf(request.priority, now);
    if (!withinQuota && floorCredit < 1) {
        return std::nullopt;
    }
    if (!withinQuota) {
        floorCredit -= cost;
    }
    m_credit = std::max(m_credit - cost, -MaxDebt);
    return withinQuota ? Reason::Quota : Reason::ClassFloor;
}

void AdmissionControl::noteSent(TimePoint now)
{
    const auto elapsed = std::chrono::duration<double>(now - std::exchange(m_lastSentAt, now));
    m_sendRate = m_sendRate * std::exp(-(elapsed / RateTime)) + 1 / std::chrono::duration<double>(RateTime).count();
}

void AdmissionControl::release(TimePoint now)
{
    std::vector<Held *> waiting;
    for (auto &held : m_held) {
        if (!held.released) {
            waiting.push_back(&held);
        }
    }
    std::sort(waiting.begin(), waiting.end(), [&](const Held *a, const Held *b) { return precedes(*a, *b, now); });
    for (auto *held : waiting) {
        held->released = take(held->request, missesGoal(held->request, now), now);
        if (held->released) {
            noteSent(now);
            if (onRelease) {
                onRelease(held->ticket);
            }
        }
    }
}

bool AdmissionControl::precedes(const Held &a, const Held &b, TimePoint now) const
{
    const bool aLate = missesGoal(a.request, now);
    const bool bLate = missesGoal(b.request, now);
    if (aLate != bLate || a.request.priority != b.request.priority) {
        return std::pair(aLate, a.request.priority) < std::pair(bLate, b.request.priority);
    }
    return aLate ? a.until < b.until : std::pair(a.request.weight, a.ticket) < std::pair(b.request.weight, b.ticket);
}

Duration AdmissionControl::expectedHold(const Held &held, TimePoint now) const
{
    const auto before = std::count_if(m_held.begin(), m_held.end(), [&](const Held &other) {
        return !other.released && other.ticket != held.ticket && precedes(other, held, now);
    });
    const double rate = std::max(m_sendRate, 1 / std::chrono::duration<double>(m_options.maxRetryAfter).count());
    return duration_cast<Duration>(std::chrono::duration<double>(static_cast<double>(before) / rate));
}

AdmissionControl::Decision AdmissionControl::refuse(Reason reason, Duration expectedWait)
{
    std::uniform_real_distribution<double> spread(1, 1 + RetrySpread);
    const auto wait = std::clamp<Duration>(expectedWait, m_options.minRetryAfter, m_options.maxRetryAfter);
    return {.verdict = Verdict::Refuse,
            .reason = reason,
            .retryAfter = duration_cast<milliseconds>(spread(m_random) * wait)};
}

AdmissionControl::Decision AdmissionControl::hold(const Held &held, TimePoint now)
{
    const bool late = missesGoal(held.request, now);
    std::uniform_real_distribution<double> spread(0.7, 1.3);
    const auto interval
        = duration_cast<Duration>(spread(m_random) * (late ? m_options.lateCheck : m_options.onTimeCheck));
    return {.verdict = Verdict::Hold,
            .reason = Reason::Waiting,
            .ticket = held.ticket,
            .checkAt = std::min(now + interval, held.until)};
}

AdmissionControl::Decision AdmissionControl::offer(const Request &request, TimePoint now)
{
    openIfReportIsOld(now);
    m_classes[request.priority].lastSeen = now;
    if (!m_fraction.limits()) {
        noteSent(now);
        return {};
    }
    addLateQuota(now);
    const bool late = missesGoal(request, now);
    if (!late) {
        addQuota(request);
    }
    Held held{.ticket = ++m_lastTicket,
              .request = request,
              .since = now,
              .until = now + duration_cast<Duration>(m_options.maxHold * (request.deadline - now))};
    if (request.deadline < now + m_answerTime) {
        return refuse(Reason::TooLittleTime, m_options.minRetryAfter);
    }
    m_held.push_back(held);
    release(now);
    if (const auto reason = m_held.back().released) {
        m_held.pop_back();
        return {.verdict = Verdict::Send, .reason = *reason};
    }
    const auto expected = expectedHold(held, now);
    if (now + expected > held.until || m_held.size() > m_options.maxHeld) {
        m_held.pop_back();
        return refuse(Reason::TooManyHeld, expected);
    }
    return hold(held, now);
}

AdmissionControl::Decision AdmissionControl::check(Ticket ticket, TimePoint now)
{
    openIfReportIsOld(now);
    addLateQuota(now);
    release(now);
    const auto found = find(ticket);
    assert(found != m_held.end() && "the request is held");
    if (found->released) {
        const auto reason = *found->released;
        m_held.erase(found);
        return {.verdict = Verdict::Send, .reason = reason};
    }
    if (now < found->until) {
        return hold(*found, now);
    }
    const auto expected = expectedHold(*found, now);
    m_held.erase(found);
    if (!m_fraction.limits()) {
        noteSent(now);
        return {.verdict = Verdict::Send, .reason = Reason::Room};
    }
    return refuse(Reason::HeldTooLong, expected);
}

void AdmissionControl::withdraw(Ticket ticket)
{
    const auto found = find(ticket);
    if (found != m_held.end()) {
        m_held.erase(found);
    }
}

std::vector<AdmissionControl::Held>::iterator AdmissionControl::find(Ticket ticket)
{
    return std::find_if(m_held.begin(), m_held.end(), [ticket](const Held &held) { return held.ticket == ticket; });
}

AdmissionControl::Inputs AdmissionControl::inputs() const
{
    return {.load = m_load,
            .target = m_fraction.target(),
            .demand = m_fraction.demand(),
            .onTimeShare = m_fraction.onTimeShare(),
            .lateShare = m_fraction.lateShare(),
            .serviceTime = m_serviceTime,
            .held = m_held.size()};
}

} // namespace tamarackcove
