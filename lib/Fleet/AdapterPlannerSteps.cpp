#include "tamarackcove/Fleet/AdapterPlanner.h"

#include <algorithm>
#include <utility>

namespace tamarackcove {

/// A model is loaded again this long after an order for it stayed without effect.
static constexpr milliseconds ModelLoadMargin{1500};
/// Window over which loads of models from the store are limited.
static constexpr seconds StoreWindow{5};

bool AdapterPlanner::hasRoom(const Server &server, const BaseModel &model) const
{
    const auto *profile = server.profile.find(model);
    if (profile == nullptr || static_cast<int>(server.adapters.size()) >= server.profile.adapterSlots) {
        return false;
    }
    double used = 0;
    for (const auto &[name, version] : server.models) {
        const auto *held = server.profile.find(name);
        used += held == nullptr ? 0 : held->weightsMb;
    }
    for (const auto &[adapter, held] : server.adapters) {
        const auto *of = server.profile.find(adapter.model);
        used += of == nullptr ? 0 : of->adapterMb;
    }
    return used + profile->adapterMb <= server.profile.weightsMb;
}

std::optional<AdapterKey> AdapterPlanner::victim(const Server &server, TimePoint now) const
{
    const auto idle = idlest(server, now, m_options.minIdle);
    return idle ? idle : idlest(server, now, m_options.minIdleUnderPressure);
}

std::optional<AdapterKey> AdapterPlanner::idlest(const Server &server, TimePoint now, milliseconds minIdle) const
{
    const AdapterKey *best = nullptr;
    double lowest = 0;
    for (const auto &[adapter, held] : server.adapters) {
        const bool recent = std::max(held.lastUse, held.readyAt) + minIdle > now;
        if (held.unloading || held.uncertain || recent || !held.running.empty()) {
            continue;
        }
        const bool awaited = std::any_of(server.wanted.begin(), server.wanted.end(),
                                         [&key = adapter](const auto &wanted) { return wanted.adapter == key; });
        if (awaited) {
            continue;
        }
        const auto value = rateNow(held, now);
        if (best == nullptr || value < lowest) {
            best = &adapter;
            lowest = value;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

AdapterPlanner::Step AdapterPlanner::next(const TargetId &id, TimePoint now)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end() || found->second.engaged || found->second.draining) {
        return {};
    }
    auto &server = found->second;
    if (!server.known || (server.busy && server.modelsLoading.empty())) {
        const auto due = server.readAt + m_options.retryAfterUnknown;
        if (due > now) {
            return {.kind = Step::Kind::Wait, .until = due};
        }
        server.engaged = true;
        return {.kind = Step::Kind::ReadState};
    }
    auto step = modelStep(server, now);
    if (step.kind == Step::Kind::Wait && step.until == TimePoint::max()) {
        step = adapterStep(server, now);
    }
    server.engaged = step.kind != Step::Kind::Wait;
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
    step.order.expectedOrders = server.ordersAccepted;
    return step;
}

AdapterPlanner::Step AdapterPlanner::modelStep(Server &server, TimePoint now)
{
    if (!server.modelsLoading.empty()) {
        const auto until = server.modelsLoading.begin()->second;
        if (until > now) {
            return {.kind = Step::Kind::Wait, .until = until};
        }
        server.modelsLoading.clear();
        server.known = false;
        server.readAt = now - m_options.retryAfterUnknown;
        return {.kind = Step::Kind::Wait, .until = now};
    }
    if (!server.models.empty() || server.profile.models.empty()) {
        return {};
    }
    // An empty server takes the model that the fewest servers hold.
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
    while (!m_modelLoads.empty() && m_modelLoads.front() + StoreWindow < now) {
        m_modelLoads.pop_front();
    }
    const auto most = std::max(1.0, server.profile.storeLoadsPerSecond * seconds(StoreWindow).count());
    if (static_cast<double>(m_modelLoads.size()) >= most) {
        return {.kind = Step::Kind::Wait, .until = m_modelLoads.front() + StoreWindow};
    }
    m_modelLoads.push_back(now);
    server.modelsLoading[best->name] = now + best->storeLoad + ModelLoadMargin;
    return orderStep(server, ServerOrder::Action::Load, {.model = best->name, .adapter = {}}, 0);
}

bool AdapterPlanner::isBefore(const Wanted &first, const Wanted &second, TimePoint now) const
{
    // New versions must be in place soon, and an order without an answer holds a place. Then, when more is asked for
    // than can be loaded, the order of arrival would make every request late; the newest ones can still be in time.
    const auto rank = [&](const Wanted &wanted) {
        if (wanted.replaces) {
            return 0;
        }
        if (wanted.waiting == 0) {
            return 3;
        }
        return wanted.since + m_options.timely >= now ? 1 : 2;
    };
    const auto ranks = std::pair(rank(first), rank(second));
    if (ranks.first != ranks.second) {
        return ranks.first < ranks.second;
    }
    if (first.waiting != second.waiting) {
        return first.waiting > second.waiting;
    }
    return ranks.first == 1 && first.since > second.since;
}

AdapterPlanner::Step AdapterPlanner::adapterStep(Server &server, TimePoint now)
{
    std::erase_if(server.wanted, [&](const auto &wanted) {
        const auto held = server.adapters.find(wanted.adapter);
        const bool holds = held != server.adapters.end() && !held->second.unloading && !held->second.uncertain
            && held->second.version >= wanted.version;
        const bool givenUp = wanted.asked != TimePoint::max() && wanted.asked + m_options.demandRetention < now;
        return holds || givenUp || !server.models.contains(wanted.adapter.model);
    });
    if (server.wanted.empty()) {
        return {};
    }
    TimePoint soonest = now + m_options.memoryLoad;
    for (const auto &[adapter, held] : server.adapters) {
        if (held.readyAt > now) {
            soonest = std::min(soonest, held.readyAt);
        }
    }
    if (inTransit(server, now) >= m_options.maxInTransitPerServer) {
        return {.kind = Step::Kind::Wait, .until = soonest};
    }
    const bool storeBusy = m_storeLoads.full(storeLoadsInTransit(now));
    auto first = server.wanted.end();
    for (auto item = server.wanted.begin(); item != server.wanted.end(); ++item) {
        const bool possible = item->notBefore <= now && (!storeBusy || cachedAt(server, item->adapter));
        if (possible && (first == server.wanted.end() || isBefore(*item, *first, now))) {
            first = item;
        }
    }
    if (first == server.wanted.end()) {
        return {.kind = Step::Kind::Wait, .until = soonest};
    }
    const auto wanted = *first;
    const auto held = server.adapters.find(wanted.adapter);
    if (held == server.adapters.end() && !hasRoom(server, wanted.adapter.model)) {
        const auto evicted = victim(server, now);
        if (!evicted) {
            // All places are in use or on their way; what is being unloaded is seen by reading the state.
            const bool unloading = std::any_of(server.adapters.begin(), server.adapters.end(),
                                               [](const auto &item) { return item.second.unloading; });
            if (unloading && server.readAt + m_options.reportAge < now) {
                server.known = false;
                server.readAt = now - m_options.retryAfterUnknown;
            }
            return {.kind = Step::Kind::Wait, .until = now + m_options.memoryLoad};
        }
        auto &evictedState = server.adapters.at(*evicted);
        evictedState.unloading = true;
        m_changes.push_back({.server = server.identity.id, .adapter = *evicted, .version = 0, .readyAt = now});
        return orderStep(server, ServerOrder::Action::Unload, *evicted, 0);
    }
    server.wanted.erase(first);
    if (held == server.adapters.end()) {
        // Takes the place; entries learn of it once the server has accepted the order.
        server.adapters[wanted.adapter]
            = {.version = wanted.version, .readyAt = now + m_options.storeLoad, .lastUse = now, .fromStore = true};
    }
    return orderStep(server, ServerOrder::Action::Load, wanted.adapter, wanted.version);
}

} // namespace tamarackcove
