#include "tamarackcove/Fleet/AdmissionFraction.h"

#include <algorithm>
#include <cassert>

namespace tamarackcove {

/// Weights of a new estimate of the demand in its moving average. A rise is followed at once, because queues fill
/// within a few hundred milliseconds. A fall is followed fast only while slots are free: otherwise it may be noise.
static constexpr double RiseWeight = 0.5;
static constexpr double FallWeight = 0.3;
static constexpr double FallWeightWithRoom = 0.7;
/// Smallest estimate of the requests sent, as a part of the capacity, so that one odd report does not open the service.
static constexpr double MinThroughput = 0.25;

static double inSeconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

AdmissionFraction::AdmissionFraction(Options options)
    : m_options(options)
{
}

double AdmissionFraction::meanShare(TimePoint from, TimePoint to) const
{
    double sum = 0;
    for (std::size_t i = 0; i < m_past.size(); ++i) {
        const auto begin = i == 0 ? from : std::max(from, m_past[i].since);
        const auto end = i + 1 < m_past.size() ? std::min(to, m_past[i + 1].since) : to;
        sum += begin < end ? std::min(1.0, m_past[i].level) * inSeconds(end - begin) : 0;
    }
    return m_past.empty() ? 1.0 : sum / inSeconds(to - from);
}

void AdmissionFraction::estimateDemand(const Input &input, TimePoint now)
{
    const auto interval = now - m_lastStep;
    if (m_level > 1 && m_level < Open && m_demand > 0) {
        // Requests that have missed their goal are sent too, which are no demand of their own.
        return;
    }
    const double capacity = input.slots / inSeconds(input.serviceTime);
    const double ended = std::min(input.inProgress, static_cast<double>(input.slots)) / inSeconds(input.serviceTime);
    const double sent
        = std::max(ended + (input.inProgress - m_lastInProgress) / inSeconds(interval), MinThroughput * capacity);
    const double estimate = sent / meanShare(now - m_options.reportDelay - interval, now - m_options.reportDelay);
    const double weight = estimate > m_demand ? RiseWeight
        : input.inProgress < input.slots      ? FallWeightWithRoom
                                              : FallWeight;
    m_demand = m_demand == 0 ? estimate : m_demand + weight * (estimate - m_demand);
}

void AdmissionFraction::update(const Input &input, TimePoint now)
{
    assert(input.serviceTime > Duration(0) && "the capacity is not known");
    if (now < m_lastStep + m_options.minStep || input.slots <= 0) {
        return;
    }
    const bool isFirst = m_past.empty() || now > m_lastStep + 4 * m_options.reportDelay;
    if (isFirst) {
        m_lastStep = now - m_options.reportDelay;
        m_lastInProgress = input.inProgress;
    }
    const double slots = input.slots;
    const double capacity = slots / inSeconds(input.serviceTime);
    const double queue = m_options.goalShare * inSeconds(input.goalMargin) / inSeconds(input.serviceTime);
    m_target = slots * (1 + std::clamp(queue, m_options.minTargetQueue, m_options.maxTargetQueue));
    estimateDemand(input, now);
    m_lastStep = now;
    m_lastInProgress = input.inProgress;

    if (m_level >= 1 && input.inProgress < m_options.activation * m_target) {
        const double change = input.inProgress < m_target ? m_options.lateGrowth : -2 * m_options.lateGrowth;
        m_level = m_level == Open ? Open : std::clamp(m_level + change, 1.0, Open);
    } else if (m_level > 1 && m_level < Open) {
        // Too many requests that have missed their goal were sent. The others are not limited for that.
        m_level = 1;
    } else {
        const double sentMeanwhile = meanShare(now - m_options.reportDelay, now) * m_demand;
        const double change = (sentMeanwhile - capacity) * inSeconds(m_options.reportDelay);
        // The prediction is bounded because servers refuse requests beyond their queue and cannot run more than they
        // have.
        const double predicted = std::clamp(input.inProgress + change, std::min(input.inProgress, slots / 2),
                                            1.5 * input.inProgress + slots / 2);
        const double correction = (m_target - predicted) / inSeconds(m_options.correctionTime);
        const double wanted = (m_options.utilisation * capacity + correction) / m_demand;
        m_level = std::clamp(wanted, m_options.minShare, 1.0 + m_options.lateGrowth);
    }
    m_past.push_back({.since = now, .level = m_level});
    while (m_past.size() > 1 && m_past[1].since < now - 4 * m_options.reportDelay) {
        m_past.pop_front();
    }
}

void AdmissionFraction::reset()
{
    m_level = Open;
    m_demand = 0;
    m_past.clear();
    m_lastStep = {};
}

bool AdmissionFraction::limits() const
{
    return m_level < Open;
}

double AdmissionFraction::onTimeShare() const
{
    return std::min(1.0, m_level);
}

double AdmissionFraction::lateShare() const
{
    return std::max(0.0, m_level - 1);
}

double AdmissionFraction::target() const
{
    return m_target;
}

double AdmissionFraction::demand() const
{
    return m_demand;
}

} // namespace tamarackcove
