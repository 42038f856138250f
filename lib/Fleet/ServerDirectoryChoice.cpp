#include "tamarackcove/Fleet/ServerChoice.h"
#include "tamarackcove/Fleet/ServerDirectory.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tamarackcove {

double ServerDirectory::load(const Server &server) const
{
    const double zonePenalty = server.offered.zone == m_options.zone ? 0 : m_options.otherZonePenalty;
    return (server.inFlight + server.estimate.lastReport() + zonePenalty) / std::max(1, server.offered.slots);
}

Duration ServerDirectory::reportAge(TimePoint now) const
{
    return m_loadsReportedAt ? now - *m_loadsReportedAt : Duration::max();
}

std::vector<ServerDirectory::Candidate> ServerDirectory::findCandidates(const Requirements &requirements,
                                                                        TimePoint now) const
{
    std::vector<Candidate> candidates;
    int bestRank = 0;
    for (const auto &[id, server] : m_servers) {
        if (server.pausedUntil > now || !suits(server, requirements) || !hasMemory(server, requirements)) {
            continue;
        }
        Candidate candidate{.server = &server};
        // Lower is better: 1 is added while the adapter is loading on the server, 2 while the server is avoided.
        int rank = 0;
        if (requirements.adapter) {
            const auto held = server.holdings.find(*requirements.adapter);
            // An unreachable server has most likely crashed, so it is no candidate. If no candidate is left, the entry
            // asks the control host to load the adapter on another server.
            if (held == server.holdings.end() || held->second.version < requirements.minVersion
                || unreachable(server, now)) {
                continue;
            }
            candidate.holding = &held->second;
            rank += held->second.readyAt > now ? 1 : 0;
        }
        rank += server.avoidUntil > now ? 2 : 0;
        if (rank < bestRank) {
            candidates.clear();
        }
        if (candidates.empty()) {
            bestRank = rank;
        }
        if (rank == bestRank) {
            candidates.push_back(candidate);
        }
    }
    return candidates;
}

std::optional<ServerDirectory::Choice> ServerDirectory::choose(const Requirements &requirements, TimePoint now)
{
    const auto candidates = findCandidates(requirements, now);
    if (candidates.empty()) {
        return std::nullopt;
    }
    return hasManyEntries() ? chooseAtRandom(candidates, requirements, now) : chooseLeastLoaded(candidates, now);
}

ServerDirectory::Choice ServerDirectory::chooseLeastLoaded(const std::vector<Candidate> &candidates, TimePoint now)
{
    std::uniform_real_distribution<double> tieBreak(0, 0.01);
    const Candidate *best = nullptr;
    double bestLoad = 0;
    for (const auto &candidate : candidates) {
        const double candidateLoad = load(*candidate.server) + tieBreak(m_random);
        if (best == nullptr || candidateLoad < bestLoad) {
            best = &candidate;
            bestLoad = candidateLoad;
        }
    }
    auto choice = toChoice(*best, now);
    choice.load = bestLoad;
    choice.loadAge = reportAge(now);
    return choice;
}

ServerDirectory::Choice ServerDirectory::chooseAtRandom(const std::vector<Candidate> &candidates,
                                                        const Requirements &requirements, TimePoint now)
{
    // Assumed before the first answer, as a part of the goal: services are given goals of several times their service
    // time.
    constexpr int AssumedDurationsInGoal = 4;
    ServerChoice::Inputs inputs{.goal = requirements.goal,
                                .usualDuration = requirements.goal / AssumedDurationsInGoal,
                                .reportAge = reportAge(now)};
    if (const auto times = m_times.find(requirements.service); times != m_times.end()) {
        inputs.usualFirstAnswer = times->second.firstAnswer.value().value_or(Duration(0));
        inputs.usualDuration = times->second.duration.value().value_or(inputs.usualDuration);
    }
    std::vector<ServerChoice::Candidate> weighed;
    weighed.reserve(candidates.size());
    for (const auto &candidate : candidates) {
        const auto &server = *candidate.server;
        weighed.push_back({.slots = std::max(1, server.offered.slots),
                           .inOwnZone = server.offered.zone == m_options.zone,
                           .connected = hasIdleConnection && hasIdleConnection(server.offered.identity, now),
                           .ownLoad = server.inFlight,
                           .slowness = server.slowness,
                           .estimate = &server.estimate});
    }
    const auto drawn = ServerChoice::choose(weighed, inputs, now, m_random);
    auto choice = toChoice(candidates[drawn.index], now);
    choice.reason = drawn.reason;
    choice.load = weighed[drawn.index].load;
    choice.loadAge = inputs.reportAge;
    return choice;
}

ServerDirectory::Choice ServerDirectory::toChoice(const Candidate &candidate, TimePoint now)
{
    const auto &offered = candidate.server->offered;
    Choice choice{.server = offered.identity,
                  .endpoint = offered.endpoint,
                  .zone = offered.zone,
                  .avoided = candidate.server->avoidUntil > now,
                  .slowness = candidate.server->slowness};
    if (candidate.holding != nullptr) {
        choice.version = candidate.holding->version;
        choice.readyAt = candidate.holding->readyAt;
        choice.expectedAt = candidate.holding->expectedAt;
    }
    return choice;
}

ServiceLoad ServerDirectory::serviceLoad(const ServiceName &service, TimePoint now) const
{
    ServiceLoad sum{.reportAge = reportAge(now)};
    for (const auto &[id, server] : m_servers) {
        if (server.pausedUntil <= now && !unreachable(server, now) && suits(server, {.service = service})) {
            sum.inProgress += server.inFlight + server.estimate.lastReport();
            sum.slots += server.offered.slots;
        }
    }
    return sum;
}

void ServerDirectory::recordFirstAnswer(const TargetId &id, Duration elapsed, TimePoint now)
{
    // Some engines take 2.5 times as long for 15 requests in 100, which says nothing of their load.
    constexpr int LateFactor = 3;
    const auto found = m_servers.find(id);
    if (found == m_servers.end()) {
        return;
    }
    auto &server = found->second;
    auto &times = m_times[server.offered.service];
    const auto usual = times.firstAnswer.value();
    times.firstAnswer.note(elapsed);
    if (!usual || elapsed <= *usual * LateFactor) {
        server.estimate.recordTimelyAnswer();
        return;
    }
    // The request has waited for its slot while those before it ended, each after the usual duration.
    const auto duration = std::max({times.duration.value().value_or(*usual), *usual, Duration(1)});
    const auto wait = std::chrono::duration<double>(elapsed - *usual);
    server.estimate.recordLateAnswer(1 + wait / duration, now);
}

void ServerDirectory::recordUnitTime(const TargetId &id, Duration time)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end() || time <= Duration(0) || !hasManyEntries()) {
        return;
    }
    auto &usual = m_times[found->second.offered.service].unit;
    usual.note(time);
    auto &ratios = m_timeRatios[id];
    ++ratios.count;
    ratios.logSum += std::log(std::chrono::duration<double>(time) / *usual.value());
}

std::map<TargetId, TimeRatios> ServerDirectory::takeTimeRatios()
{
    return std::exchange(m_timeRatios, {});
}

void ServerDirectory::setSlowness(const TargetId &id, double slowness)
{
    const auto found = m_servers.find(id);
    if (found != m_servers.end()) {
        found->second.slowness = std::max(1.0, slowness);
    }
}

void ServerDirectory::recordDuration(const TargetId &id, Duration elapsed)
{
    const auto found = m_servers.find(id);
    if (found != m_servers.end()) {
        m_times[found->second.offered.service].duration.note(elapsed);
    }
}

} // namespace tamarackcove
