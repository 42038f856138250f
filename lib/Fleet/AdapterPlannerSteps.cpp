#include "tamarackcove/Fleet/AdapterPlanner.h"

#include <algorithm>
#include <utility>

namespace tamarackcove {

/// Time beyond the expected load time of a model after which its load is ordered again.
static constexpr milliseconds ModelLoadMargin{1500};
/// Period over which the rate of model loads from the store is limited.
static constexpr seconds StoreWindow{5};

bool AdapterPlanner::hasRoom(const Server &server, const BaseModel &model) const
{
    const auto *profile = server.profile.find(model);
    return profile != nullptr && static_cast<int>(server.adapters.size()) < server.profile.adapterSlots
        && usedMemoryMb(server) + profile->adapterMb <= server.profile.weightsMb;
}

bool AdapterPlanner::isOverfull(const Server &server) const
{
    return static_cast<int>(server.adapters.size()) > server.profile.adapterSlots
        || usedMemoryMb(server) > server.profile.weightsMb;
}

double AdapterPlanner::usedMemoryMb(const Server &server)
{
    double usedMb = 0;
    for (const auto &[name, version] : server.models) {
        const auto *held = server.profile.find(name);
        usedMb += held == nullptr ? 0 : held->weightsMb;
    }
    for (const auto &[adapter, held] : server.adapters) {
        const auto *profileOfAdapter = server.profile.find(adapter.model);
        usedMb += profileOfAdapter == nullptr ? 0 : profileOfAdapter->adapterMb;
    }
    return usedMb;
}

std::optional<AdapterKey> AdapterPlanner::evictionCandidate(const Server &server, TimePoint now) const
{
    const auto idle = leastUsedIdle(server, now, m_options.minIdle);
    return idle ? idle : leastUsedIdle(server, now, m_options.minIdleUnderPressure);
}

std::optional<AdapterKey> AdapterPlanner::leastUsedIdle(const Server &server, TimePoint now, milliseconds minIdle) const
{
    const AdapterKey *best = nullptr;
    double lowest = 0;
    for (const auto &[adapter, held] : server.adapters) {
        const bool recent = std::max(held.lastUse, held.readyAt) + minIdle > now;
        if (held.unloading || held.loadUnanswered || recent || !held.running.empty()) {
            continue;
        }
        const bool awaited
            = std::any_of(server.queuedLoads.begin(), server.queuedLoads.end(),
                          [&key = adapter](const auto &queuedLoad) { return queuedLoad.adapter == key; });
        if (awaited) {
            continue;
        }
        const auto value = currentRate(held, now);
        if (best == nullptr || value < lowest) {
            best = &adapter;
            lowest = value;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

AdapterPlanner::Step AdapterPlanner::nextStep(const TargetId &id, TimePoint now)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end() || found->second.stepInProgress || found->second.draining) {
        return {};
    }
    auto &server = found->second;
    if (!server.stateKnown || (server.busy && server.modelsLoading.empty())) {
        const auto due = server.stateReadAt + m_options.stateReadDelay;
        if (due > now) {
            return {.kind = Step::Kind::Wait, .until = due};
        }
        server.stepInProgress = true;
        return {.kind = Step::Kind::ReadState};
    }
    auto step = nextModelStep(server, now);
    if (step.kind == Step::Kind::Wait && step.until == TimePoint::max()) {
        step = nextAdapterStep(server, now);
    }
    server.stepInProgress = step.kind != Step::Kind::Wait;
    return step;
}

AdapterPlanner::Step AdapterPlanner::orderStep(const Server &server, ServerOrder::Action action, AdapterKey weights,
                                               std::uint64_t version)
{
    Step step;
    step.kind = Step::Kind::Order;
    step.order.action = action;
    step.order.server = server.identity;
    step.order.endpoint = server.endpoint;
    step.order.weights = std::move(weights);
    step.order.version = version;
    step.order.expectedAcceptedOrders = server.ordersAccepted;
    return step;
}

AdapterPlanner::Step AdapterPlanner::nextModelStep(Server &server, TimePoint now)
{
    if (!server.modelsLoading.empty()) {
        const auto until = server.modelsLoading.begin()->second;
        if (until > now) {
            return {.kind = Step::Kind::Wait, .until = until};
        }
        server.modelsLoading.clear();
        server.stateKnown = false;
        server.stateReadAt = now - m_options.stateReadDelay;
        return {.kind = Step::Kind::Wait, .until = now};
    }
    if (!server.models.empty() || server.profile.models.empty()) {
        return {};
    }
    // A server without a base model loads the one that the fewest servers hold or load.
    const ModelProfile *best = nullptr;
    std::size_t fewest = 0;
    for (const auto &model : server.profile.models) {
        if (model.weightsMb > server.profile.weightsMb) {
            continue;
        }
        const auto copies
            = static_cast<std::size_t>(std::count_if(m_servers.begin(), m_servers.end(), [&](const auto &item) {
                  return item.second.models.contains(model.name) || item.second.modelsLoading.contains(model.name);
              }));
        if (best == nullptr || copies < fewest) {
            best = &model;
            fewest = copies;
        }
    }
    if (best == nullptr) {
        return {};
    }
    while (!m_recentModelLoads.empty() && m_recentModelLoads.front() + StoreWindow < now) {
        m_recentModelLoads.pop_front();
    }
    const auto maxLoads = std::max(1.0, server.profile.storeLoadsPerSecond * seconds(StoreWindow).count());
    if (static_cast<double>(m_recentModelLoads.size()) >= maxLoads) {
        return {.kind = Step::Kind::Wait, .until = m_recentModelLoads.front() + StoreWindow};
    }
    m_recentModelLoads.push_back(now);
    server.modelsLoading[best->name] = now + best->storeLoadTime + ModelLoadMargin;
    return orderStep(server, ServerOrder::Action::Load, {.model = best->name, .adapter = {}}, 0);
}

bool AdapterPlanner::hasPriorityOver(const QueuedLoad &first, const QueuedLoad &second, TimePoint now) const
{
    // Replacements come first: new versions must be loaded within seconds, and an unanswered order occupies a slot.
    // Adapters with requests that can still meet their latency goal come next, then those with late requests, then
    // further copies. Under overload the order of arrival would make every request late, whereas the newest can still
    // be in time: so the adapter with the newest request comes first among the adapters that equally many requests wait
    // for.
    const auto priority = [&](const QueuedLoad &queuedLoad) {
        if (queuedLoad.isReplacement) {
            return 0;
        }
        if (queuedLoad.waitingRequests == 0) {
            return 3;
        }
        return queuedLoad.newestRequestAt + m_options.maxOnTimeWait >= now ? 1 : 2;
    };
    const auto priorities = std::pair(priority(first), priority(second));
    if (priorities.first != priorities.second) {
        return priorities.first < priorities.second;
    }
    if (first.waitingRequests != second.waitingRequests) {
        return first.waitingRequests > second.waitingRequests;
    }
    return priorities.first == 1 && first.newestRequestAt > second.newestRequestAt;
}

AdapterPlanner::Step AdapterPlanner::nextAdapterStep(Server &server, TimePoint now)
{
    std::erase_if(server.queuedLoads, [&](const auto &queuedLoad) {
        const auto held = server.adapters.find(queuedLoad.adapter);
        const bool holds = held != server.adapters.end() && !held->second.unloading && !held->second.loadUnanswered
            && held->second.version >= queuedLoad.version;
        const bool abandoned
            = queuedLoad.lastDemandAt != TimePoint::max() && queuedLoad.lastDemandAt + m_options.demandRetention < now;
        return holds || abandoned || !server.models.contains(queuedLoad.adapter.model);
    });
    if (server.queuedLoads.empty()) {
        return {};
    }
    TimePoint nextEnd = now + m_options.memoryLoadTime;
    for (const auto &[adapter, held] : server.adapters) {
        if (held.readyAt > now) {
            nextEnd = std::min(nextEnd, held.readyAt);
        }
    }
    if (inTransit(server, now) >= m_options.maxInTransitPerServer) {
        return {.kind = Step::Kind::Wait, .until = nextEnd};
    }
    const bool storeBusy = m_storeLoadWindow.isFull(storeLoadsInTransit(now));
    auto first = server.queuedLoads.end();
    for (auto item = server.queuedLoads.begin(); item != server.queuedLoads.end(); ++item) {
        const bool mayBeOrdered = item->notBefore <= now && (!storeBusy || server.cached.contains(item->adapter));
        if (mayBeOrdered && (first == server.queuedLoads.end() || hasPriorityOver(*item, *first, now))) {
            first = item;
        }
    }
    if (first == server.queuedLoads.end()) {
        return {.kind = Step::Kind::Wait, .until = nextEnd};
    }
    const auto queuedLoad = *first;
    const auto held = server.adapters.find(queuedLoad.adapter);
    // An adapter that the server holds in an older version, or whose load was not answered, has its slot already. But
    // the server may hold adapters that this host has only learned of since then, from orders of its predecessor.
    const bool needsEviction
        = held == server.adapters.end() ? !hasRoom(server, queuedLoad.adapter.model) : isOverfull(server);
    if (needsEviction) {
        const auto evicted = evictionCandidate(server, now);
        if (!evicted) {
            // No adapter of the server can be evicted; see evictionCandidate(). The end of an unload shows only in the
            // state of the server, so the state is read if an adapter is unloading.
            const bool unloading = std::any_of(server.adapters.begin(), server.adapters.end(),
                                               [](const auto &item) { return item.second.unloading; });
            if (unloading && server.stateReadAt + m_options.maxReportAge < now) {
                server.stateKnown = false;
                server.stateReadAt = now - m_options.stateReadDelay;
            }
            return {.kind = Step::Kind::Wait, .until = now + m_options.memoryLoadTime};
        }
        auto &evictedState = server.adapters.at(*evicted);
        evictedState.unloading = true;
        m_changes.push_back({.server = server.identity.id, .adapter = *evicted, .version = 0, .readyAt = now});
        return orderStep(server, ServerOrder::Action::Unload, *evicted, 0);
    }
    server.queuedLoads.erase(first);
    if (held == server.adapters.end()) {
        // The copy occupies the slot from now on. It is added to m_changes, and so sent to entries, only when the
        // server has accepted the order.
        server.adapters[queuedLoad.adapter] = {.version = queuedLoad.version,
                                               .readyAt = now + m_storeLoadTime.expected(),
                                               .lastUse = now,
                                               .fromStore = true};
    }
    return orderStep(server, ServerOrder::Action::Load, queuedLoad.adapter, queuedLoad.version);
}

} // namespace tamarackcove
