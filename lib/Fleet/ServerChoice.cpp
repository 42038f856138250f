#include "tamarackcove/Fleet/ServerChoice.h"

#include "tamarackcove/Fleet/LoadEstimate.h"

#include <algorithm>
#include <cmath>

namespace tamarackcove {

/// A report up to this age counts in full: the leader sends one every 200 ms, and one may be late.
static constexpr milliseconds FreshReport{600};
/// Time in which an older report loses about two thirds of its weight.
static constexpr milliseconds ReportLifetime{1000};
/// The part of its goal by which a request may be later in its own zone than elsewhere.
static constexpr double ZoneDelayShare = 0.1;
/// The same for a request without a goal.
static constexpr milliseconds ZoneDelayWithoutGoal{50};
/// The probability of a server is proportional to its slots / (1 + load) ^ exponent. The exponent grows with the time
/// that requests are in progress, because the load of short requests follows the choice at once but the report of it
/// comes some 300 ms later: a steeper rule would make all entries swing between the servers.
static constexpr double MinExponent = 2;
static constexpr double MaxExponent = 6;
/// Requests that are in progress for this long or longer get MaxExponent.
static constexpr milliseconds LongRequest{1000};

/// By how much an open connection raises the probability of a server. Each entry has connections to other servers; if
/// it used only those, the few entries that use a server would decide its load.
static constexpr double ConnectedPreference = 1.5;

double ServerChoice::trustIn(Duration reportAge)
{
    if (reportAge <= FreshReport) {
        return 1;
    }
    return std::exp(-(std::chrono::duration<double>(reportAge) - FreshReport) / ReportLifetime);
}

Duration ServerChoice::expectedWait(double load, int slots, Duration duration)
{
    // A smooth function close to the mean of max(0, X - 1) for a normal X with mean `load` and variance load / slots.
    constexpr double SpreadOfDeviation = 0.58;
    constexpr double MinLoad = 0.05;
    const double spread = SpreadOfDeviation * std::sqrt(std::max(load, MinLoad) / slots);
    const double excess = (load - 1) / spread;
    constexpr double LinearFrom = 20;
    const double wait = excess > LinearFrom ? load - 1 : spread * std::log1p(std::exp(excess));
    return duration_cast<Duration>(duration * wait);
}

Duration ServerChoice::expectedTime(const Candidate &candidate, const Inputs &inputs)
{
    const auto time = inputs.usualFirstAnswer + expectedWait(candidate.load, candidate.slots, inputs.usualDuration);
    return duration_cast<Duration>(time * candidate.slowness);
}

void ServerChoice::estimateLoads(std::span<Candidate> candidates, const Inputs &inputs, TimePoint now)
{
    double othersLoad = 0;
    double slots = 0;
    for (auto &candidate : candidates) {
        candidate.load = candidate.estimate->smoothedReport(now);
        othersLoad += candidate.load;
        slots += candidate.slots;
    }
    const double trust = trustIn(inputs.reportAge);
    const double meanLoad = othersLoad / slots;
    const double exponent = MinExponent
        + (MaxExponent - MinExponent)
            * std::min(1.0, std::chrono::duration<double>(inputs.usualDuration) / LongRequest);
    for (auto &candidate : candidates) {
        const double othersPerSlot = trust * candidate.load / candidate.slots + (1 - trust) * meanLoad;
        const double load = othersPerSlot + candidate.ownLoad / candidate.slots;
        candidate.load = candidate.estimate->withExperience(load, now);
        // Once for the requests that the server serves in a given time, and once more because each of them is later.
        const double speed = 1 / (candidate.slowness * candidate.slowness);
        candidate.weight = speed * candidate.slots / std::pow(1 + candidate.load, exponent)
            * (candidate.connected ? ConnectedPreference : 1);
    }
}

std::size_t ServerChoice::draw(std::span<const Candidate> candidates, bool onlyOwnZone, std::mt19937_64 &random)
{
    const auto weightOf = [&](const Candidate &candidate) {
        return onlyOwnZone && !candidate.inOwnZone ? 0 : candidate.weight;
    };
    double total = 0;
    for (const auto &candidate : candidates) {
        total += weightOf(candidate);
    }
    double left = std::uniform_real_distribution<double>(0, total)(random);
    std::size_t drawn = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const double weight = weightOf(candidates[i]);
        if (weight == 0) {
            continue;
        }
        drawn = i;
        left -= weight;
        if (left < 0) {
            break;
        }
    }
    return drawn;
}

double ServerChoice::chanceToLeave(const Candidate &own, std::span<const Candidate> candidates, const Inputs &inputs)
{
    double weight = 0;
    Duration weightedTime{0};
    for (const auto &candidate : candidates) {
        if (!candidate.inOwnZone) {
            weight += candidate.weight;
            weightedTime += duration_cast<Duration>(expectedTime(candidate, inputs) * candidate.weight);
        }
    }
    if (weight == 0) {
        return 0;
    }
    const auto delay = expectedTime(own, inputs) - weightedTime / weight;
    const auto maxDelay = inputs.goal > milliseconds(0)
        ? inputs.goal * ZoneDelayShare
        : std::chrono::duration<double, std::milli>(ZoneDelayWithoutGoal);
    return std::clamp(delay / maxDelay, 0.0, 1.0);
}

ServerChoice::Result ServerChoice::choose(std::span<Candidate> candidates, const Inputs &inputs, TimePoint now,
                                          std::mt19937_64 &random)
{
    estimateLoads(candidates, inputs, now);
    std::uniform_real_distribution<double> chance(0, 1);
    if (chance(random) >= trustIn(inputs.reportAge)) {
        return {.index = draw(candidates, false, random), .reason = ChoiceReason::StaleReport};
    }
    const bool hasOwnZone = std::any_of(candidates.begin(), candidates.end(),
                                        [](const Candidate &candidate) { return candidate.inOwnZone; });
    std::size_t drawn = draw(candidates, hasOwnZone, random);
    if (hasOwnZone && chance(random) < chanceToLeave(candidates[drawn], candidates, inputs)) {
        drawn = draw(candidates, false, random);
    }
    return {.index = drawn, .reason = candidates[drawn].inOwnZone ? ChoiceReason::OwnZone : ChoiceReason::OtherZone};
}

} // namespace tamarackcove
