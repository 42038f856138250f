#include "tamarackcove/Fleet/AdapterPlanner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tamarackcove {

/// After this many orders without an answer the state is read before the next one.
static constexpr int MaxUnanswered = 3;
/// A named version must be in place everywhere some seconds later.
static constexpr milliseconds MaxReplacementDelay{1200};

AdapterPlanner::AdapterPlanner(Options options)
    : m_options(options)
    , m_storeLoads(options.store)
{
}

void AdapterPlanner::reset()
{
    m_servers.clear();
    m_loadSum = 0;
    m_changes.clear();
    m_wakeups.clear();
}

void AdapterPlanner::serverSeen(const ServerHeartbeat &heartbeat, bool draining, const EngineProfile &profile,
                                TimePoint now)
{
    auto &server = m_servers[heartbeat.identity.id];
    if (server.identity != heartbeat.identity) {
        setLoad(heartbeat.identity.id, 0);
        server = Server{};
        server.identity = heartbeat.identity;
        server.readAt = now - m_options.retryAfterUnknown;
    }
    m_storeLoads.setServers(m_servers.size());
    server.endpoint = heartbeat.endpoint;
    server.zone = heartbeat.zone;
    server.profile = profile;
    server.draining = draining;
    if (!heartbeat.cachedAdapters.empty()) {
        server.cached.assign(heartbeat.cachedAdapters.begin(), heartbeat.cachedAdapters.end());
    }
    // A heartbeat tells of a model that has been loaded before any reading does.
    for (const auto &model : heartbeat.models) {
        if (server.known && server.modelsLoading.erase(model.name) > 0) {
            server.models[model.name] = model.version;
            server.busy = false;
        }
    }
    wake(heartbeat.identity.id);
}

void AdapterPlanner::serverGone(const TargetId &id)
{
    setLoad(id, 0);
    m_servers.erase(id);
}

void AdapterPlanner::reported(const ServerIdentity &identity, const ServerReport &report, TimePoint asked,
                              TimePoint now)
{
    const auto found = m_servers.find(identity.id);
    if (found == m_servers.end() || found->second.identity != identity) {
        return;
    }
    auto &server = found->second;
    server.engaged = false;
    server.readAt = now;
    if (report.startedAt != identity.startedAt && report.startedAt != Incarnation()) {
        return; // a new start that has not announced itself yet
    }
    const bool first = !server.known;
    server.known = true;
    server.ordersAccepted = report.ordersAccepted;
    server.busy = report.busy;
    std::map<AdapterKey, std::uint64_t> holds;
    std::map<BaseModel, std::uint64_t> models;
    for (const auto &model : report.models) {
        models[model.name] = model.version;
        for (const auto &adapter : model.adapters) {
            holds[{model.name, adapter.adapter}] = adapter.version;
        }
    }
    server.models = std::move(models);
    std::erase_if(server.modelsLoading,
                  [&](const auto &item) { return server.models.contains(item.first) || item.second < now; });
    for (const auto &[adapter, version] : holds) {
        const auto held = server.adapters.find(adapter);
        if (held == server.adapters.end() || held->second.uncertain) {
            setHeld(server, adapter, {.version = version, .readyAt = first ? now : asked, .lastUse = now});
        }
    }
    for (const auto &[adapter, version] : report.pending) {
        if (!server.adapters.contains(adapter)) {
            setHeld(server, adapter,
                    {.version = version, .readyAt = now + m_options.storeLoad, .lastUse = now, .fromStore = true});
        }
    }
    // What the server does not name has been unloaded, unless it was ordered after the state was taken.
    std::vector<AdapterKey> gone;
    for (const auto &[adapter, held] : server.adapters) {
        const bool named = holds.contains(adapter)
            || std::any_of(report.pending.begin(), report.pending.end(),
                           [&key = adapter](const auto &item) { return item.first == key; });
        if (!named && held.readyAt + m_options.reportAge < asked) {
            gone.push_back(adapter);
        }
    }
    for (const auto &adapter : gone) {
        drop(server, adapter);
    }
    wake(identity.id);
}

void AdapterPlanner::readFailed(const ServerIdentity &identity, TimePoint now)
{
    const auto found = m_servers.find(identity.id);
    if (found != m_servers.end() && found->second.identity == identity) {
        found->second.engaged = false;
        found->second.readAt = now;
    }
}

void AdapterPlanner::orderEnded(const ServerOrder &order, OrderOutcome outcome, TimePoint now)
{
    const auto found = m_servers.find(order.server.id);
    if (found == m_servers.end() || found->second.identity != order.server) {
        return;
    }
    auto &server = found->second;
    server.engaged = false;
    const bool loads = order.action == ServerOrder::Action::Load;
    const bool isModel = order.weights.adapter.empty();
    if (outcome == OrderOutcome::Accepted || outcome == OrderOutcome::Done) {
        // An order whose aim holds already may or may not count; a wrong expectation is refused and read again.
        ++server.ordersAccepted;
        server.conflicts = 0;
        server.unanswered = 0;
        std::erase_if(server.adapters,
                      [&](const auto &item) { return item.second.uncertain && item.first != order.weights; });
        if (isModel) {
            return;
        }
        if (loads) {
            const bool warm = cachedAt(server, order.weights);
            const auto takes = outcome == OrderOutcome::Done ? milliseconds(0)
                : warm                                       ? m_options.memoryLoad
                                                             : m_options.storeLoad;
            setHeld(server, order.weights,
                    {.version = order.version, .readyAt = now + takes, .lastUse = now, .fromStore = !warm});
            noteCached(server, order.weights);
        } else if (outcome == OrderOutcome::Done) {
            drop(server, order.weights);
        } else {
            // It waits for its requests, and the server takes no other order meanwhile.
            server.busy = true;
            server.readAt = now;
        }
        return;
    }
    if (outcome == OrderOutcome::Unknown && !isModel) {
        orderUnanswered(server, order, now);
        return;
    }
    if (isModel) {
        server.modelsLoading.erase(order.weights.model);
    } else if (loads) {
        drop(server, order.weights);
    } else if (const auto kept = server.adapters.find(order.weights); kept != server.adapters.end()) {
        kept->second.unloading = false;
        kept->second.lastUse = now;
        setHeld(server, order.weights, Held(kept->second));
    }
    if (outcome == OrderOutcome::Conflict && !loads && ++server.conflicts < 2) {
        // Most likely a request is using the adapter; another one is unloaded instead.
        return;
    }
    server.conflicts = 0;
    // The state is read before the next order: what the server holds is not certain now.
    server.known = false;
    server.readAt = now;
}

void AdapterPlanner::orderUnanswered(Server &server, const ServerOrder &order, TimePoint now)
{
    auto &held = server.adapters[order.weights];
    held.lastUse = now;
    if (order.action == ServerOrder::Action::Load) {
        held.uncertain = true;
        held.readyAt = now;
        server.wanted.push_front(
            {.adapter = order.weights, .version = order.version, .since = now, .asked = now, .replaces = true});
    } else {
        held.unloading = false;
        setHeld(server, order.weights, Held(held));
    }
    if (++server.unanswered >= MaxUnanswered) {
        server.unanswered = 0;
        server.known = false;
        server.readAt = now;
    }
}

void AdapterPlanner::setLoad(const TargetId &id, double load)
{
    const auto found = m_servers.find(id);
    if (found != m_servers.end()) {
        m_loadSum += load - found->second.load;
        found->second.load = load;
    }
}

bool AdapterPlanner::crowded(const Server &server) const
{
    if (server.load < m_options.crowdedShare * server.profile.slots) {
        return false;
    }
    return server.load > m_options.crowdedRatio * m_loadSum / static_cast<double>(m_servers.size());
}

double AdapterPlanner::rateNow(const Held &held, TimePoint now) const
{
    const std::chrono::duration<double> idle = now - held.lastUse;
    const std::chrono::duration<double> halfLife = m_options.rateHalfLife;
    return held.rate * std::exp2(-idle / halfLife);
}

int AdapterPlanner::inTransit(const Server &server, TimePoint now) const
{
    return static_cast<int>(std::count_if(server.adapters.begin(), server.adapters.end(),
                                          [&](const auto &item) { return item.second.readyAt > now; }));
}

std::size_t AdapterPlanner::storeLoadsInTransit(TimePoint now) const
{
    std::size_t count = 0;
    for (const auto &[id, server] : m_servers) {
        count += static_cast<std::size_t>(
            std::count_if(server.adapters.begin(), server.adapters.end(),
                          [&](const auto &item) { return item.second.fromStore && item.second.readyAt > now; }));
    }
    return count;
}

bool AdapterPlanner::cachedAt(const Server &server, const AdapterKey &adapter)
{
    return std::find(server.cached.begin(), server.cached.end(), adapter) != server.cached.end();
}

void AdapterPlanner::noteCached(Server &server, const AdapterKey &adapter)
{
    std::erase(server.cached, adapter);
    server.cached.push_back(adapter);
    const auto most = m_options.cachedPerPlace * static_cast<std::size_t>(std::max(0, server.profile.adapterSlots));
    while (server.cached.size() > most) {
        server.cached.pop_front();
    }
}

void AdapterPlanner::entryGone(const EntryId &entry)
{
    for (auto &[id, server] : m_servers) {
        for (auto &[adapter, held] : server.adapters) {
            held.running.erase(entry);
        }
    }
}

void AdapterPlanner::recall(const ServerIdentity &identity, const std::vector<AdapterKey> &adapters)
{
    const auto found = m_servers.find(identity.id);
    if (found == m_servers.end() || found->second.identity != identity) {
        return;
    }
    auto &server = found->second;
    // What this planner has seen itself is more recent.
    const auto known = std::exchange(server.cached, {});
    for (const auto &adapter : adapters) {
        noteCached(server, adapter);
    }
    for (const auto &adapter : known) {
        noteCached(server, adapter);
    }
}

void AdapterPlanner::overdue(const TargetId &id, const AdapterKey &adapter, milliseconds by, TimePoint now)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end()) {
        return;
    }
    const auto held = found->second.adapters.find(adapter);
    if (held == found->second.adapters.end() || held->second.unloading || !held->second.fromStore) {
        return;
    }
    held->second.timed = true;
    m_storeLoads.late(by, storeLoadsInTransit(now), now);
    // It is still on its way.
    held->second.readyAt = std::max(held->second.readyAt, now);
}

void AdapterPlanner::missing(const TargetId &id, const AdapterKey &adapter, TimePoint now)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end()) {
        return;
    }
    auto &server = found->second;
    const auto held = server.adapters.find(adapter);
    if (held == server.adapters.end() || held->second.unloading || held->second.readyAt + m_options.reportAge > now) {
        return;
    }
    server.known = false;
    wake(id);
}

void AdapterPlanner::suspect(const TargetId &id, TimePoint until)
{
    const auto found = m_servers.find(id);
    if (found != m_servers.end()) {
        found->second.suspectUntil = std::max(found->second.suspectUntil, until);
    }
}

void AdapterPlanner::versionNamed(const AdapterKey &adapter, std::uint64_t version, TimePoint now)
{
    auto &named = m_versions[adapter];
    if (version <= named) {
        return;
    }
    named = version;
    // One copy after the other, so that requests find one that is not being replaced.
    auto notBefore = now;
    for (auto &[id, server] : m_servers) {
        const auto held = server.adapters.find(adapter);
        if (held != server.adapters.end() && held->second.version < version && !server.draining) {
            server.wanted.push_front({.adapter = adapter,
                                      .version = version,
                                      .since = now,
                                      .asked = TimePoint::max(),
                                      .replaces = true,
                                      .notBefore = notBefore});
            notBefore = std::min(notBefore + m_options.storeLoad, now + MaxReplacementDelay);
            wake(id);
        }
    }
}

void AdapterPlanner::setHeld(Server &server, const AdapterKey &adapter, Held held)
{
    const auto before = server.adapters.find(adapter);
    if (before != server.adapters.end()) {
        held.rate = before->second.rate;
        held.running = before->second.running;
    }
    server.adapters[adapter] = held;
    m_changes.push_back({.server = server.identity.id,
                         .adapter = adapter,
                         .version = std::max<std::uint64_t>(held.version, 1),
                         .readyAt = held.readyAt});
}

void AdapterPlanner::drop(Server &server, const AdapterKey &adapter)
{
    if (server.adapters.erase(adapter) > 0) {
        m_changes.push_back({.server = server.identity.id, .adapter = adapter, .version = 0, .readyAt = {}});
    }
}

void AdapterPlanner::wake(const TargetId &id)
{
    m_wakeups.push_back(id);
}

std::vector<TargetId> AdapterPlanner::takeWakeups()
{
    return std::exchange(m_wakeups, {});
}

std::vector<AdapterPlanner::HoldingChange> AdapterPlanner::takeChanges()
{
    return std::exchange(m_changes, {});
}

std::vector<AdapterPlanner::HoldingChange> AdapterPlanner::holdings() const
{
    std::vector<HoldingChange> all;
    for (const auto &[id, server] : m_servers) {
        for (const auto &[adapter, held] : server.adapters) {
            if (!held.unloading && !held.uncertain) {
                all.push_back({.server = id,
                               .adapter = adapter,
                               .version = std::max<std::uint64_t>(held.version, 1),
                               .readyAt = held.readyAt});
            }
        }
    }
    return all;
}

AdapterPlanner::Totals AdapterPlanner::totals(TimePoint now) const
{
    Totals totals;
    for (const auto &[id, server] : m_servers) {
        const auto loading = static_cast<std::size_t>(inTransit(server, now));
        totals.loading += loading;
        totals.held += server.adapters.size() - loading;
        totals.wanted += server.wanted.size();
    }
    totals.fromStore = storeLoadsInTransit(now);
    return totals;
}

const StoreLoads &AdapterPlanner::storeLoads() const
{
    return m_storeLoads;
}

} // namespace tamarackcove
