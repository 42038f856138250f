#include "tamarackcove/Fleet/ServerRegistry.h"

#include <utility>

namespace tamarackcove {

ServerRegistry::ServerRegistry(Options options)
    : m_options(options)
{
}

static bool sameModels(const ServerHeartbeat &a, const ServerHeartbeat &b)
{
    if (a.models.size() != b.models.size()) {
        return false;
    }
    for (std::size_t i = 0; i < a.models.size(); ++i) {
        if (a.models[i].name != b.models[i].name || a.models[i].version != b.models[i].version) {
            return false;
        }
    }
    return true;
}

ServerRegistry::HeartbeatResult ServerRegistry::heartbeat(const ServerHeartbeat &heartbeat, TimePoint now)
{
    const auto &id = heartbeat.identity.id;
    const auto departure = m_departures.find(heartbeat.identity);
    if (hasEnded(heartbeat.identity, now)) {
        return HeartbeatResult::Outdated;
    }
    const auto existing = m_servers.find(id);
    if (existing != m_servers.end()) {
        const auto &previous = existing->second.lastHeartbeat;
        if (heartbeat.identity.startedAt < previous.identity.startedAt
            || (heartbeat.identity == previous.identity && heartbeat.sequence <= previous.sequence)) {
            return HeartbeatResult::Outdated;
        }
    }
    const auto atAddress = m_newestStartByAddress.find(heartbeat.endpoint);
    if (atAddress != m_newestStartByAddress.end() && atAddress->second.id != id) {
        if (atAddress->second.startedAt > heartbeat.identity.startedAt) {
            return HeartbeatResult::Outdated;
        }
        remove(atAddress->second.id);
    }
    m_newestStartByAddress[heartbeat.endpoint] = heartbeat.identity;
    const bool isDraining = heartbeat.draining || departure != m_departures.end();
    const bool isNewStart
        = existing == m_servers.end() || existing->second.lastHeartbeat.identity != heartbeat.identity;
    const bool changed = isNewStart || existing->second.draining != isDraining
        || !sameModels(existing->second.lastHeartbeat, heartbeat)
        || existing->second.lastHeartbeat.service != heartbeat.service
        || existing->second.lastHeartbeat.endpoint != heartbeat.endpoint;
    auto &server = m_servers[id];
    server.lastHeartbeat = heartbeat;
    server.lastHeard = now;
    server.draining = isDraining;
    if (changed) {
        m_changes.insert(id);
    }
    if (heartbeat.draining && departure == m_departures.end()) {
        return HeartbeatResult::Departing;
    }
    return changed ? HeartbeatResult::Changed : HeartbeatResult::Unchanged;
}

bool ServerRegistry::mayAddUnannounced(const ServerHeartbeat &heartbeat, TimePoint now) const
{
    const auto &identity = heartbeat.identity;
    const auto known = m_servers.find(identity.id);
    if (known != m_servers.end() && known->second.lastHeartbeat.identity.startedAt >= identity.startedAt) {
        return false;
    }
    const auto atAddress = m_newestStartByAddress.find(heartbeat.endpoint);
    const bool addressTaken = atAddress != m_newestStartByAddress.end()
        && (atAddress->second.id != identity.id || known == m_servers.end());
    return !addressTaken && !hasEnded(identity, now) && !heartbeat.validationError();
}

bool ServerRegistry::addUnannounced(const ServerHeartbeat &heartbeat, bool draining, TimePoint now)
{
    if (!mayAddUnannounced(heartbeat, now)) {
        return false;
    }
    m_newestStartByAddress[heartbeat.endpoint] = heartbeat.identity;
    m_servers[heartbeat.identity.id] = {.lastHeartbeat = heartbeat,
                                        .lastHeard = now,
                                        .draining = draining || m_departures.contains(heartbeat.identity)};
    m_changes.insert(heartbeat.identity.id);
    return true;
}

const ServerRegistry::Server *ServerRegistry::find(const TargetId &id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

bool ServerRegistry::seemsEnded(const ServerIdentity &server, const Endpoint &endpoint, TimePoint now) const
{
    if (m_departures.contains(server)) {
        return false;
    }
    const auto known = m_servers.find(server.id);
    if (known != m_servers.end() && known->second.lastHeartbeat.identity == server) {
        return !known->second.draining && known->second.lastHeard + m_options.maxHeartbeatGap < now;
    }
    if (known != m_servers.end() && known->second.lastHeartbeat.identity.startedAt > server.startedAt) {
        return true;
    }
    const auto newest = m_newestStartByAddress.find(endpoint);
    return newest != m_newestStartByAddress.end() && newest->second.startedAt >= server.startedAt;
}

std::set<TargetId> ServerRegistry::silentServers(TimePoint now) const
{
    std::set<TargetId> silent;
    for (const auto &[id, server] : m_servers) {
        if (!server.draining && server.lastHeard + m_options.maxHeartbeatGap < now) {
            silent.insert(id);
        }
    }
    return silent;
}

void ServerRegistry::applyDeparture(const ServerIdentity &server, bool gone)
{
    const auto [departure, isNew] = m_departures.try_emplace(server, gone);
    departure->second = departure->second || gone;
    if (isNew) {
        m_departureOrder.push_back(server);
        if (m_departureOrder.size() > m_options.maxDepartures) {
            m_departures.erase(m_departureOrder.front());
            m_departureOrder.pop_front();
        }
    }
    const auto found = m_servers.find(server.id);
    if (found == m_servers.end() || found->second.lastHeartbeat.identity != server) {
        return;
    }
    if (!found->second.draining) {
        found->second.draining = true;
        m_changes.insert(server.id);
    }
}

void ServerRegistry::applyDepartureOfAnyStart(const TargetId &id, TimePoint now)
{
    std::erase_if(m_departuresOfAnyStart, [now](const auto &item) { return item.second <= now; });
    if (m_departuresOfAnyStart.size() < m_options.maxDepartures) {
        m_departuresOfAnyStart[id] = now + m_options.heartbeatDelay;
    }
}

bool ServerRegistry::hasEnded(const ServerIdentity &server, TimePoint now) const
{
    // Also those before a start that has departed: a server has one start at a time.
    const auto departure = m_departures.lower_bound(server);
    if (departure != m_departures.end() && departure->first.id == server.id
        && (departure->second || departure->first.startedAt > server.startedAt)) {
        return true;
    }
    const auto ofAnyStart = m_departuresOfAnyStart.find(server.id);
    return ofAnyStart != m_departuresOfAnyStart.end() && now < ofAnyStart->second;
}

void ServerRegistry::expire(TimePoint now)
{
    for (auto it = m_servers.begin(); it != m_servers.end();) {
        const auto current = it++;
        if (current->second.lastHeard + m_options.heartbeatTimeout < now) {
            remove(TargetId(current->first));
        }
    }
}

void ServerRegistry::remove(const TargetId &id)
{
    if (m_servers.erase(id) > 0) {
        m_changes.insert(id);
    }
}

const std::map<TargetId, ServerRegistry::Server> &ServerRegistry::servers() const
{
    return m_servers;
}

std::set<TargetId> ServerRegistry::takeChanges()
{
    return std::exchange(m_changes, {});
}

void ServerRegistry::clear()
{
    m_servers.clear();
    m_newestStartByAddress.clear();
    m_departures.clear();
    m_departureOrder.clear();
    m_departuresOfAnyStart.clear();
    m_changes.clear();
}

} // namespace tamarackcove
