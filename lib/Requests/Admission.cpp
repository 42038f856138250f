#include "tamarackcove/Requests/Admission.h"

#include <algorithm>

namespace tamarackcove {

// Weight of the newest interval in the moving average of the time between completions: about the last twenty
// completions count.
static constexpr double NewestIntervalWeight = 0.05;

Admission::Admission(Options options)
    : m_options(options)
{
}

static int percentOf(int whole, int percent)
{
    return std::max(1, whole * percent / 100);
}

bool Admission::belowShare(const Offer &offer) const
{
    const auto found = m_usage.find(offer.service);
    const int running = found == m_usage.end() ? 0 : found->second.running;
    return running < percentOf(m_options.maxRunning, offer.sharePercent);
}

bool Admission::mayRun(const Offer &offer) const
{
    const int reserve = m_options.maxRunning * m_options.reservePercent / 100;
    return running() < m_options.maxRunning - (belowShare(offer) ? 0 : reserve);
}

bool Admission::mayQueue(const Offer &offer) const
{
    const auto found = m_usage.find(offer.service);
    const int queuedOfService = found == m_usage.end() ? 0 : found->second.queued;
    const int reserve = m_options.maxQueued * m_options.reservePercent / 100;
    const bool belowQueueShare = queuedOfService < percentOf(m_options.maxQueued, offer.sharePercent);
    return queued() < m_options.maxQueued - (belowQueueShare ? 0 : reserve);
}

std::int64_t Admission::agedPriority(const QueuedRequest &waiting, TimePoint now) const
{
    return static_cast<std::int64_t>(waiting.offer.priority) + (now - waiting.queuedAt) / m_options.ageStep;
}

Admission::Decision Admission::offer(const Offer &offer, TimePoint now)
{
    Decision decision;
    const bool queuedAhead = std::any_of(m_queue.begin(), m_queue.end(), [this, &offer](const QueuedRequest &waiting) {
        return waiting.offer.priority >= offer.priority && mayRun(waiting.offer);
    });
    if (mayRun(offer) && !queuedAhead) {
        decision.verdict = Verdict::Admitted;
        decision.ticket = ++m_lastTicket;
        startRequest(decision.ticket, offer);
        return decision;
    }
    decision.retryAfter = retryAfter();
    // Refuses a request whose deadline would pass in the queue, so that its caller does not wait in vain.
    const auto wait = m_completionInterval * static_cast<double>(queued());
    if (offer.deadline != TimePoint::max() && now + duration_cast<Duration>(wait) >= offer.deadline) {
        return decision;
    }
    if (!mayQueue(offer)) {
        decision.displaced = displaceFor(offer, now);
        if (!decision.displaced) {
            return decision;
        }
    }
    decision.verdict = Verdict::Queued;
    decision.ticket = ++m_lastTicket;
    m_queue.push_back(QueuedRequest{decision.ticket, offer, now});
    ++m_usage[offer.service].queued;
    return decision;
}

std::optional<Admission::Ticket> Admission::displaceFor(const Offer &offer, TimePoint now)
{
    auto lowest = m_queue.end();
    for (auto it = m_queue.begin(); it != m_queue.end(); ++it) {
        // A queued request whose aged priority has reached that of the new request keeps its place.
        const bool displaceable = agedPriority(*it, now) < static_cast<std::int64_t>(offer.priority);
        if (displaceable && (lowest == m_queue.end() || agedPriority(*it, now) <= agedPriority(*lowest, now))) {
            lowest = it;
        }
    }
    if (lowest == m_queue.end()) {
        return std::nullopt;
    }
    const auto ticket = lowest->ticket;
    finish(ticket, now);
    return ticket;
}

void Admission::startRequest(Ticket ticket, const Offer &offer)
{
    m_running.emplace(ticket, offer.service);
    ++m_usage[offer.service].running;
}

void Admission::finish(Ticket ticket, TimePoint now)
{
    const auto running = m_running.find(ticket);
    if (running != m_running.end()) {
        const auto service = running->second;
        --m_usage[service].running;
        m_running.erase(running);
        removeUsageIfIdle(service);
        noteCompletion(now);
        return;
    }
    const auto waiting = std::find_if(m_queue.begin(), m_queue.end(),
                                      [ticket](const QueuedRequest &entry) { return entry.ticket == ticket; });
    if (waiting != m_queue.end()) {
        const auto service = waiting->offer.service;
        --m_usage[service].queued;
        m_queue.erase(waiting);
        removeUsageIfIdle(service);
    }
}

void Admission::removeUsageIfIdle(const ServiceName &service)
{
    const auto found = m_usage.find(service);
    if (found->second.running == 0 && found->second.queued == 0) {
        m_usage.erase(found);
    }
}

void Admission::noteCompletion(TimePoint now)
{
    if (m_lastCompletionAt != TimePoint{}) {
        const std::chrono::duration<double> interval = now - m_lastCompletionAt;
        m_completionInterval += NewestIntervalWeight * (interval - m_completionInterval);
    }
    m_lastCompletionAt = now;
}

std::vector<Admission::Ticket> Admission::admitNext(TimePoint now)
{
    std::vector<Ticket> admitted;
    while (!m_queue.empty()) {
        auto best = m_queue.end();
        for (auto it = m_queue.begin(); it != m_queue.end(); ++it) {
            if (!mayRun(it->offer)) {
                continue;
            }
            if (best == m_queue.end()) {
                best = it;
                continue;
            }
            const bool candidateBelowShare = belowShare(it->offer);
            const bool bestBelowShare = belowShare(best->offer);
            if (candidateBelowShare != bestBelowShare ? candidateBelowShare
                                                      : agedPriority(*it, now) > agedPriority(*best, now)) {
                best = it;
            }
        }
        if (best == m_queue.end()) {
            break;
        }
        const auto next = *best;
        m_queue.erase(best);
        --m_usage[next.offer.service].queued;
        startRequest(next.ticket, next.offer);
        admitted.push_back(next.ticket);
    }
    return admitted;
}

milliseconds Admission::retryAfter() const
{
    const auto wait = duration_cast<milliseconds>(m_completionInterval * static_cast<double>(queued() + 1));
    return std::clamp(wait, m_options.minRetryAfter, m_options.maxRetryAfter);
}

int Admission::running() const
{
    return static_cast<int>(m_running.size());
}

int Admission::queued() const
{
    return static_cast<int>(m_queue.size());
}

} // namespace tamarackcove
