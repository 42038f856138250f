#include "tamarackcove/Fleet/AdapterPlanner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tamarackcove {

/// After this many unanswered orders in a row the state of the server is read before the next order.
static constexpr int MaxUnanswered = 3;
/// Longest time from the announcement of a new version to the earliest order of the last replacement: all copies must
/// have a new version within a few seconds.
static constexpr milliseconds MaxReplacementDelay{1200};

AdapterPlanner::AdapterPlanner(Options options)
    : m_options(options)
    , m_storeLoadWindow(options.store)
    , m_storeLoadTime(options.storeLoadTime)
{
}

void AdapterPlanner::reset()
{
    m_servers.clear();
    m_totalLoad = 0;
    m_changes.clear();
    m_wakeups.clear();
}

void AdapterPlanner::updateServer(const ServerHeartbeat &heartbeat, bool draining, const EngineProfile &profile,
                                  TimePoint now)
{
    auto &server = m_servers[heartbeat.identity.id];
    if (server.identity != heartbeat.identity) {
        setLoad(heartbeat.identity.id, 0);
        server = Server{};
        server.identity = heartbeat.identity;
        server.stateReadAt = now - m_options.stateReadDelay;
    }
    m_storeLoadWindow.setServers(m_servers.size());
    server.endpoint = heartbeat.endpoint;
    server.zone = heartbeat.zone;
    server.profile = profile;
    server.draining = draining;
    if (!heartbeat.cachedAdapters.empty()) {
        server.cached.assign(heartbeat.cachedAdapters);
    }
    // A heartbeat may list a newly loaded model before the next read of the state does.
    for (const auto &model : heartbeat.models) {
        if (server.stateKnown && server.modelsLoading.erase(model.name) > 0) {
            server.models[model.name] = model.version;
            server.busy = false;
        }
    }
    wake(heartbeat.identity.id);
}

void AdapterPlanner::removeServer(const TargetId &id)
{
    setLoad(id, 0);
    m_servers.erase(id);
}

void AdapterPlanner::applyReport(const ServerIdentity &identity, const ServerReport &report, TimePoint readStartedAt,
                                 TimePoint now)
{
    const auto found = m_servers.find(identity.id);
    if (found == m_servers.end() || found->second.identity != identity) {
        return;
    }
    auto &server = found->second;
    server.stepInProgress = false;
    server.stateReadAt = now;
    if (report.startedAt != identity.startedAt && report.startedAt != Incarnation()) {
        return; // the server has restarted and not announced itself yet
    }
    const bool isFirstRead = !server.stateKnown;
    server.stateKnown = true;
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
        if (held == server.adapters.end() || held->second.loadUnanswered) {
            setCopy(server, adapter,
                    {.version = version, .readyAt = isFirstRead ? now : readStartedAt, .lastUse = now});
        }
    }
    for (const auto &[adapter, version] : report.pending) {
        if (!server.adapters.contains(adapter)) {
            setCopy(
                server, adapter,
                {.version = version, .readyAt = now + m_storeLoadTime.expected(), .lastUse = now, .fromStore = true});
        }
    }
    // An adapter that the report does not list has been unloaded, unless its load was ordered after the report's state
    // was taken.
    std::vector<AdapterKey> gone;
    for (const auto &[adapter, held] : server.adapters) {
        const bool listed = holds.contains(adapter)
            || std::any_of(report.pending.begin(), report.pending.end(),
                           [&key = adapter](const auto &item) { return item.first == key; });
        if (!listed && held.readyAt + m_options.maxReportAge < readStartedAt) {
            gone.push_back(adapter);
        }
    }
    for (const auto &adapter : gone) {
        removeCopy(server, adapter);
    }
    wake(identity.id);
}

void AdapterPlanner::handleReadFailure(const ServerIdentity &identity, TimePoint now)
{
    const auto found = m_servers.find(identity.id);
    if (found != m_servers.end() && found->second.identity == identity) {
        found->second.stepInProgress = false;
        found->second.stateReadAt = now;
    }
}

void AdapterPlanner::applyOrderOutcome(const ServerOrder &order, OrderOutcome outcome, TimePoint now)
{
    const auto found = m_servers.find(order.server.id);
    if (found == m_servers.end() || found->second.identity != order.server) {
        return;
    }
    auto &server = found->second;
    server.stepInProgress = false;
    const bool loads = order.action == ServerOrder::Action::Load;
    const bool isModel = order.weights.adapter.empty();
    if (outcome == OrderOutcome::Accepted || outcome == OrderOutcome::Done) {
        // A server may or may not count an order that changes nothing (Done). If it does not, the next order expects a
        // wrong number and conflicts, and the state is read again.
        ++server.ordersAccepted;
        server.consecutiveConflicts = 0;
        server.consecutiveUnanswered = 0;
        for (auto item = server.adapters.begin(); item != server.adapters.end();) {
            const bool refused = item->second.loadUnanswered && item->first != order.weights;
            item = refused ? server.adapters.erase(item) : std::next(item);
        }
        if (isModel) {
            return;
        }
        if (loads) {
            const bool inMemory = server.cached.contains(order.weights);
            const auto loadTime = outcome == OrderOutcome::Done ? milliseconds(0)
                : inMemory                                      ? m_options.memoryLoadTime
                                                                : m_storeLoadTime.expected();
            setCopy(server, order.weights,
                    {.version = order.version, .readyAt = now + loadTime, .lastUse = now, .fromStore = !inMemory});
            server.cached.add(order.weights, maxCached(server));
        } else if (outcome == OrderOutcome::Done) {
            removeCopy(server, order.weights);
        } else {
            // The unload waits for the requests that use the adapter. The server accepts no other order until then.
            server.busy = true;
            server.stateReadAt = now;
        }
        return;
    }
    if (outcome == OrderOutcome::Unknown && !isModel) {
        handleUnansweredOrder(server, order, now);
        return;
    }
    if (isModel) {
        server.modelsLoading.erase(order.weights.model);
    } else if (loads) {
        removeCopy(server, order.weights);
    } else if (const auto kept = server.adapters.find(order.weights); kept != server.adapters.end()) {
        kept->second.unloading = false;
        kept->second.lastUse = now;
        setCopy(server, order.weights, AdapterCopy(kept->second));
    }
    if (outcome == OrderOutcome::Conflict && !loads && ++server.consecutiveConflicts < 2) {
        // Most likely a request is using the adapter, so the server refuses to unload it. The next step unloads another
        // adapter.
        return;
    }
    server.consecutiveConflicts = 0;
    // It is uncertain what the server holds now, so its state is read before the next order.
    server.stateKnown = false;
    server.stateReadAt = now;
}

void AdapterPlanner::handleUnansweredOrder(Server &server, const ServerOrder &order, TimePoint now)
{
    auto &held = server.adapters[order.weights];
    held.lastUse = now;
    if (order.action == ServerOrder::Action::Load) {
        held.loadUnanswered = true;
        held.readyAt = now;
        server.queuedLoads.push_front({.adapter = order.weights,
                                       .version = order.version,
                                       .newestRequestAt = now,
                                       .lastDemandAt = now,
                                       .isReplacement = true});
    } else {
        held.unloading = false;
        setCopy(server, order.weights, AdapterCopy(held));
    }
    if (++server.consecutiveUnanswered >= MaxUnanswered) {
        server.consecutiveUnanswered = 0;
        server.stateKnown = false;
        server.stateReadAt = now;
    }
}

void AdapterPlanner::setLoad(const TargetId &id, double load)
{
    const auto found = m_servers.find(id);
    if (found != m_servers.end()) {
        m_totalLoad += load - found->second.load;
        found->second.load = load;
    }
}

bool AdapterPlanner::hasHighLoad(const Server &server) const
{
    if (server.load < m_options.highLoadSlotShare * server.profile.slots) {
        return false;
    }
    return server.load > m_options.highLoadRatio * m_totalLoad / static_cast<double>(m_servers.size());
}

double AdapterPlanner::currentRate(const AdapterCopy &copy, TimePoint now) const
{
    const std::chrono::duration<double> idle = now - copy.lastUse;
    const std::chrono::duration<double> halfLife = m_options.rateHalfLife;
    return copy.rate * std::exp2(-idle / halfLife);
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

std::size_t AdapterPlanner::maxCached(const Server &server) const
{
    return m_options.cachedPerAdapterSlot * static_cast<std::size_t>(std::max(0, server.profile.adapterSlots));
}

void AdapterPlanner::removeEntry(const EntryId &entry)
{
    for (auto &[id, server] : m_servers) {
        for (auto &[adapter, held] : server.adapters) {
            held.running.erase(entry);
        }
    }
}

void AdapterPlanner::addCachedAdapters(const ServerIdentity &identity, const std::vector<AdapterKey> &adapters)
{
    const auto found = m_servers.find(identity.id);
    if (found == m_servers.end() || found->second.identity != identity) {
        return;
    }
    // The cached adapters were added while this planner issued orders, so they are more recent than the given ones.
    found->second.cached.addEarlier(adapters, maxCached(found->second));
}

void AdapterPlanner::recordLateLoad(const TargetId &id, const AdapterKey &adapter, milliseconds by, TimePoint now)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end()) {
        return;
    }
    const auto held = found->second.adapters.find(adapter);
    if (held == found->second.adapters.end() || held->second.unloading || !held->second.fromStore) {
        return;
    }
    held->second.loadTimeRecorded = true;
    const bool firstReport = !std::exchange(held->second.lateLoadRecorded, true);
    if (by >= m_storeLoadWindow.lateTolerance()) {
        if (!std::exchange(held->second.congestionRecorded, true)) {
            m_storeLoadWindow.recordLate(by, storeLoadsInTransit(now), now);
        }
    } else if (firstReport) {
        m_storeLoadTime.recordLate();
    }
    // The adapter load is still in progress, so the copy is not ready before now.
    held->second.readyAt = std::max(held->second.readyAt, now);
}

void AdapterPlanner::handleMissingAdapter(const TargetId &id, const AdapterKey &adapter, TimePoint now)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end()) {
        return;
    }
    auto &server = found->second;
    const auto held = server.adapters.find(adapter);
    if (held == server.adapters.end() || held->second.unloading
        || held->second.readyAt + m_options.maxReportAge > now) {
        return;
    }
    server.stateKnown = false;
    wake(id);
}

void AdapterPlanner::markUnreachable(const TargetId &id, TimePoint until)
{
    const auto found = m_servers.find(id);
    if (found != m_servers.end()) {
        found->second.unreachableUntil = std::max(found->second.unreachableUntil, until);
    }
}

void AdapterPlanner::setNewestVersion(const AdapterKey &adapter, std::uint64_t version, TimePoint now)
{
    auto &newest = m_versions[adapter];
    if (version <= newest) {
        return;
    }
    newest = version;
    // Replaces one copy after another, so that requests find a copy that is not being replaced.
    auto notBefore = now;
    for (auto &[id, server] : m_servers) {
        const auto held = server.adapters.find(adapter);
        if (held != server.adapters.end() && held->second.version < version && !server.draining) {
            server.queuedLoads.push_front({.adapter = adapter,
                                           .version = version,
                                           .newestRequestAt = now,
                                           .lastDemandAt = TimePoint::max(),
                                           .isReplacement = true,
                                           .notBefore = notBefore});
            notBefore = std::min(notBefore + m_storeLoadTime.expected(), now + MaxReplacementDelay);
            wake(id);
        }
    }
}

void AdapterPlanner::setCopy(Server &server, const AdapterKey &adapter, AdapterCopy copy)
{
    const auto before = server.adapters.find(adapter);
    if (before != server.adapters.end()) {
        copy.rate = before->second.rate;
        copy.running = before->second.running;
    }
    server.adapters[adapter] = copy;
    m_changes.push_back({.server = server.identity.id,
                         .adapter = adapter,
                         .version = std::max<std::uint64_t>(copy.version, 1),
                         .readyAt = copy.readyAt});
}

void AdapterPlanner::removeCopy(Server &server, const AdapterKey &adapter)
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
            if (!held.unloading && !held.loadUnanswered) {
                all.push_back({.server = id,
                               .adapter = adapter,
                               .version = std::max<std::uint64_t>(held.version, 1),
                               .readyAt = held.readyAt});
            }
        }
    }
    return all;
}

std::vector<TargetId> AdapterPlanner::serversWithKnownState() const
{
    std::vector<TargetId> ids;
    for (const auto &[id, server] : m_servers) {
        if (server.stateKnown) {
            ids.push_back(id);
        }
    }
    return ids;
}

AdapterPlanner::Totals AdapterPlanner::totals(TimePoint now) const
{
    Totals totals;
    for (const auto &[id, server] : m_servers) {
        const auto loading = static_cast<std::size_t>(inTransit(server, now));
        totals.loading += loading;
        totals.held += server.adapters.size() - loading;
        totals.wanted += server.queuedLoads.size();
    }
    totals.fromStore = storeLoadsInTransit(now);
    return totals;
}

milliseconds AdapterPlanner::storeLoadTime() const
{
    return m_storeLoadTime.expected();
}

const StoreLoadWindow &AdapterPlanner::storeLoadWindow() const
{
    return m_storeLoadWindow;
}

} // namespace tamarackcove
