#include "tamarackcove/Fleet/AdapterPlanner.h"

#include <algorithm>
#include <numbers>
#include <utility>

namespace tamarackcove {

double AdapterPlanner::cost(const Server &server, const AdapterKey &adapter, const Zone &zone, TimePoint now) const
{
    // All costs are in milliseconds of additional wait of the requests for this adapter, or of delay of other requests.
    // StoreCost: the load comes from the store, or the limit of loads in transit is reached. QueueCost: added for each
    // adapter load that is queued or in transit at the server. NoVictimCost: no adapter can be evicted. LoadCost:
    // multiplied by the request load for each slot. EvictionCost: multiplied by the request rate of the evicted
    // adapter.
    constexpr double StoreCost = 225;
    constexpr double QueueCost = 40;
    constexpr double NoVictimCost = 400;
    constexpr double LoadCost = 300;
    constexpr double OtherZoneCost = 4;
    constexpr double EvictionCost = 40;
    double sum = server.cached.contains(adapter) ? 0 : StoreCost;
    const auto queued = static_cast<double>(server.queuedLoads.size()) + inTransit(server, now);
    sum += QueueCost * queued;
    if (queued >= m_options.maxInTransitPerServer) {
        sum += StoreCost;
    }
    sum += LoadCost * server.load / std::max(1, server.profile.slots);
    if (!hasRoom(server, adapter.model)) {
        const auto evicted = evictionCandidate(server, now);
        sum += evicted ? EvictionCost * currentRate(server.adapters.at(*evicted), now) : NoVictimCost;
    }
    if (server.zone != zone) {
        sum += OtherZoneCost;
    }
    return sum;
}

std::optional<TargetId> AdapterPlanner::requestLoad(const AdapterKey &adapter, std::uint64_t version, const Zone &zone,
                                                    int waitingRequests, TimePoint now, int failed)
{
    const auto newest = m_versions.find(adapter);
    version = std::max(version, newest == m_versions.end() ? 0 : newest->second);
    int copies = 0;
    Server *best = nullptr;
    double lowestCost = 0;
    for (auto &[id, server] : m_servers) {
        const auto held = server.adapters.find(adapter);
        const bool holds = held != server.adapters.end() && !held->second.unloading && !held->second.loadUnanswered
            && held->second.version >= version;
        if (server.unreachableUntil > now) {
            continue;
        }
        if (holds || refreshQueuedLoad(server, adapter, waitingRequests, now)) {
            copies += server.draining ? 0 : 1;
            continue;
        }
        if (server.draining || !server.stateKnown || server.busy || !server.models.contains(adapter.model)) {
            continue;
        }
        // A server that holds an older version is preferred to all others: the new version takes over the same slot.
        const auto candidateCost = held != server.adapters.end() ? -1.0 : cost(server, adapter, zone, now);
        if (best == nullptr || candidateCost < lowestCost) {
            best = &server;
            lowestCost = candidateCost;
        }
    }
    if (best == nullptr || copies >= 1 + failed + waitingRequests / m_options.waitingRequestsPerCopy) {
        return std::nullopt;
    }
    best->queuedLoads.push_back({.adapter = adapter,
                                 .version = version,
                                 .newestRequestAt = now,
                                 .lastDemandAt = now,
                                 .waitingRequests = waitingRequests});
    wake(best->identity.id);
    return best->identity.id;
}

bool AdapterPlanner::refreshQueuedLoad(Server &server, const AdapterKey &adapter, int waitingRequests,
                                       TimePoint now) const
{
    const auto queuedLoad = std::find_if(server.queuedLoads.begin(), server.queuedLoads.end(),
                                         [&](const auto &item) { return item.adapter == adapter; });
    if (queuedLoad == server.queuedLoads.end()) {
        return false;
    }
    const bool cannotFreeSlot = queuedLoad->waitingRequests > 0
        && queuedLoad->newestRequestAt + m_storeLoadTime.expected() < now && !hasRoom(server, adapter.model)
        && !evictionCandidate(server, now);
    if (cannotFreeSlot) {
        // No slot or memory of this server can be freed for the adapter. Another server may be able to free one by now.
        server.queuedLoads.erase(queuedLoad);
        return false;
    }
    if (waitingRequests > queuedLoad->waitingRequests) {
        queuedLoad->newestRequestAt = std::max(queuedLoad->newestRequestAt, now);
    }
    queuedLoad->waitingRequests = waitingRequests;
    queuedLoad->lastDemandAt = std::max(queuedLoad->lastDemandAt, now);
    return true;
}

void AdapterPlanner::recordUse(const TargetId &id, const AdapterKey &adapter, const EntryId &entry, int requests,
                               int running, TimePoint now)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end()) {
        return;
    }
    auto &server = found->second;
    const auto held = server.adapters.find(adapter);
    if (held == server.adapters.end()) {
        return;
    }
    if (running > 0) {
        held->second.running[entry] = running;
    } else {
        held->second.running.erase(entry);
    }
    if (requests == 0) {
        return;
    }
    if (held->second.fromStore && !std::exchange(held->second.loadTimeRecorded, true)) {
        m_storeLoadWindow.recordOnTime(storeLoadsInTransit(now), now);
        m_storeLoadTime.recordOnTime();
    }
    // Adding ln 2 / half-life for each request makes the decaying sum an estimate of the requests per second.
    const std::chrono::duration<double> halfLife = m_options.rateHalfLife;
    held->second.rate = currentRate(held->second, now) + requests * std::numbers::ln2 / halfLife.count();
    held->second.lastUse = now;
    if (now < held->second.copiesCheckedAt + m_options.copyCheckInterval) {
        return;
    }
    held->second.copiesCheckedAt = now;
    double totalRate = 0;
    std::size_t copies = 0;
    bool allHaveHighLoad = true;
    for (const auto &[otherId, other] : m_servers) {
        const auto copy = other.adapters.find(adapter);
        if (copy != other.adapters.end() && !copy->second.unloading) {
            totalRate += currentRate(copy->second, now);
            ++copies;
            allHaveHighLoad = allHaveHighLoad && hasHighLoad(other);
        }
        copies += static_cast<std::size_t>(
            std::count_if(other.queuedLoads.begin(), other.queuedLoads.end(),
                          [&](const auto &queuedLoad) { return queuedLoad.adapter == adapter; }));
    }
    const auto perCopy = allHaveHighLoad ? m_options.requestRatePerCopyAtHighLoad : m_options.requestRatePerCopy;
    if (totalRate <= perCopy * static_cast<double>(copies)) {
        return;
    }
    Server *best = nullptr;
    double lowestCost = 0;
    for (auto &[otherId, other] : m_servers) {
        if (other.adapters.contains(adapter) || other.draining || other.unreachableUntil > now || !other.stateKnown
            || other.busy || !other.models.contains(adapter.model)) {
            continue;
        }
        const auto candidateCost = cost(other, adapter, server.zone, now);
        if (best == nullptr || candidateCost < lowestCost) {
            best = &other;
            lowestCost = candidateCost;
        }
    }
    if (best != nullptr) {
        best->queuedLoads.push_back(
            {.adapter = adapter, .version = held->second.version, .newestRequestAt = now, .lastDemandAt = now});
        wake(best->identity.id);
    }
}

} // namespace tamarackcove
