#include "tamarackcove/Fleet/AdapterPlanner.h"

#include <algorithm>
#include <numbers>
#include <utility>

namespace tamarackcove {

double AdapterPlanner::cost(const Server &server, const AdapterKey &adapter, const Zone &zone, TimePoint now) const
{
    // In milliseconds that requests would wait longer or that others lose.
    constexpr double StoreCost = 225;
    constexpr double QueueCost = 40;
    constexpr double NoVictimCost = 400;
    constexpr double LoadCost = 300;
    constexpr double OtherZoneCost = 4;
    constexpr double EvictionCost = 40;
    double sum = cachedAt(server, adapter) ? 0 : StoreCost;
    const auto queued = static_cast<double>(server.wanted.size()) + inTransit(server, now);
    sum += QueueCost * queued;
    if (queued >= m_options.maxInTransitPerServer) {
        sum += StoreCost;
    }
    sum += LoadCost * server.load / std::max(1, server.profile.slots);
    if (!hasRoom(server, adapter.model)) {
        const auto evicted = victim(server, now);
        sum += evicted ? EvictionCost * rateNow(server.adapters.at(*evicted), now) : NoVictimCost;
    }
    if (server.zone != zone) {
        sum += OtherZoneCost;
    }
    return sum;
}

std::optional<TargetId> AdapterPlanner::demand(const AdapterKey &adapter, std::uint64_t version, const Zone &zone,
                                               int waiting, TimePoint now, int failed)
{
    const auto named = m_versions.find(adapter);
    version = std::max(version, named == m_versions.end() ? 0 : named->second);
    int copies = 0;
    Server *best = nullptr;
    double lowest = 0;
    for (auto &[id, server] : m_servers) {
        const auto held = server.adapters.find(adapter);
        const bool holds = held != server.adapters.end() && !held->second.unloading && !held->second.uncertain
            && held->second.version >= version;
        if (server.suspectUntil > now) {
            continue;
        }
        if (holds || repeatDemand(server, adapter, waiting, now)) {
            copies += server.draining ? 0 : 1;
            continue;
        }
        if (server.draining || !server.known || server.busy || !server.models.contains(adapter.model)) {
            continue;
        }
        // A copy of an older version is replaced in its place.
        const auto value = held != server.adapters.end() ? -1.0 : cost(server, adapter, zone, now);
        if (best == nullptr || value < lowest) {
            best = &server;
            lowest = value;
        }
    }
    if (best == nullptr || copies >= 1 + failed + waiting / m_options.waitingPerCopy) {
        return std::nullopt;
    }
    best->wanted.push_back({.adapter = adapter, .version = version, .since = now, .asked = now, .waiting = waiting});
    wake(best->identity.id);
    return best->identity.id;
}

bool AdapterPlanner::repeatDemand(Server &server, const AdapterKey &adapter, int waiting, TimePoint now) const
{
    const auto wanted = std::find_if(server.wanted.begin(), server.wanted.end(),
                                     [&](const auto &item) { return item.adapter == adapter; });
    if (wanted == server.wanted.end()) {
        return false;
    }
    const bool stuck = wanted->waiting > 0 && wanted->since + m_options.storeLoad < now
        && !hasRoom(server, adapter.model) && !victim(server, now);
    if (stuck) {
        // All places are in use; another server may have one by now.
        server.wanted.erase(wanted);
        return false;
    }
    if (waiting > wanted->waiting) {
        wanted->since = std::max(wanted->since, now);
    }
    wanted->waiting = waiting;
    wanted->asked = std::max(wanted->asked, now);
    return true;
}

void AdapterPlanner::used(const TargetId &id, const AdapterKey &adapter, const EntryId &entry, int requests,
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
    if (held->second.fromStore && !std::exchange(held->second.timed, true)) {
        m_storeLoads.inTime(storeLoadsInTransit(now), now);
    }
    // Adding ln 2 / half-life for each request makes the decaying sum an estimate of requests per second.
    const std::chrono::duration<double> halfLife = m_options.rateHalfLife;
    held->second.rate = rateNow(held->second, now) + requests * std::numbers::ln2 / halfLife.count();
    held->second.lastUse = now;
    if (now < held->second.weighedAt + m_options.weighInterval) {
        return;
    }
    held->second.weighedAt = now;
    double total = 0;
    std::size_t copies = 0;
    bool allCrowded = true;
    for (const auto &[otherId, other] : m_servers) {
        const auto copy = other.adapters.find(adapter);
        if (copy != other.adapters.end() && !copy->second.unloading) {
            total += rateNow(copy->second, now);
            ++copies;
            allCrowded = allCrowded && crowded(other);
        }
        copies += static_cast<std::size_t>(std::count_if(
            other.wanted.begin(), other.wanted.end(), [&](const auto &wanted) { return wanted.adapter == adapter; }));
    }
    const auto perCopy = allCrowded ? m_options.requestsPerCrowdedCopy : m_options.requestsPerCopy;
    if (total <= perCopy * static_cast<double>(copies)) {
        return;
    }
    Server *best = nullptr;
    double lowest = 0;
    for (auto &[otherId, other] : m_servers) {
        if (other.adapters.contains(adapter) || other.draining || other.suspectUntil > now || !other.known || other.busy
            || !other.models.contains(adapter.model)) {
            continue;
        }
        const auto value = cost(other, adapter, server.zone, now);
        if (best == nullptr || value < lowest) {
            best = &other;
            lowest = value;
        }
    }
    if (best != nullptr) {
        best->wanted.push_back({.adapter = adapter, .version = held->second.version, .since = now, .asked = now});
        wake(best->identity.id);
    }
}

} // namespace tamarackcove
