#include "tamarackcove/Control/Fleet/UpdateFeed.h"

#include "tamarackcove/Observe/LogLine.h"

#include <utility>

namespace tamarackcove {

/// Number of updates that are kept for entries that are behind. An entry that is further behind gets the whole state,
/// which is shorter than that many updates.
static constexpr std::size_t MaxKeptUpdates = 64;
/// Number of holdings in one frame of the whole state, so that a frame stays below the maximum frame size also
/// if all names are of MaxNameBytes.
static constexpr std::size_t MaxHoldingsPerFrame = 1500;

UpdateFeed::UpdateFeed(const FleetState &state, const ServerRegistry &registry, const AdapterPlanner &planner)
    : m_state(state)
    , m_registry(registry)
    , m_planner(planner)
{
}

void UpdateFeed::restart()
{
    ++m_epoch;
    m_updates.clear();
    m_publishedConfigurationVersion = m_state.configurationVersion();
    m_publishedRevision = m_state.revision();
    m_serversComplete = false;
    m_completeListPublished = false;
    m_pendingServers.clear();
    m_pendingDepartures.clear();
    m_pendingHoldings.clear();
    m_loads.clear();
    m_loadsKnown = false;
    m_pendingLoads.clear();
    m_snapshot.clear();
}

void UpdateFeed::addServers(const std::set<TargetId> &ids)
{
    m_pendingServers.insert(ids.begin(), ids.end());
    if (m_loadsKnown) {
        for (const auto &id : ids) {
            m_pendingLoads.insert(id.value());
        }
    }
}

void UpdateFeed::addDeparture(const ServerIdentity &server)
{
    m_pendingDepartures.insert(server);
}

void UpdateFeed::addHoldings(const std::vector<AdapterPlanner::HoldingChange> &changes)
{
    for (const auto &change : changes) {
        m_pendingHoldings[{change.server, change.adapter}] = change;
    }
}

void UpdateFeed::setLoads(const std::vector<ServerLoadMessage> &loads)
{
    if (!m_loadsKnown && !loads.empty()) {
        m_loadsKnown = true;
        for (const auto &[id, server] : m_registry.servers()) {
            m_pendingLoads.insert(id.value());
        }
    }
    std::map<std::string, ServerLoadMessage> previous = std::exchange(m_loads, {});
    for (const auto &load : loads) {
        const auto known = previous.find(load.server);
        if (known == previous.end() || known->second.load != load.load
            || known->second.memoryTokens != load.memoryTokens || known->second.slowness != load.slowness) {
            m_pendingLoads.insert(load.server);
        }
        if (known != previous.end()) {
            previous.erase(known);
        }
        m_loads[load.server] = load;
    }
    for (const auto &[server, load] : previous) {
        m_pendingLoads.insert(server);
    }
}

void UpdateFeed::setServersComplete()
{
    m_serversComplete = true;
}

bool UpdateFeed::setSuspects(std::set<CrashSuspect> watched, std::set<CrashSuspect> quarantined)
{
    if (watched == m_watchedSuspects && quarantined == m_quarantinedSuspects) {
        return false;
    }
    m_watchedSuspects = std::move(watched);
    m_quarantinedSuspects = std::move(quarantined);
    m_suspectsPending = true;
    return true;
}

void UpdateFeed::addSuspects(FleetUpdateMessage &update) const
{
    update.listsPromptParts = true;
    for (const auto &part : m_watchedSuspects) {
        update.watchedParts.push_back(part.value());
    }
    for (const auto &part : m_quarantinedSuspects) {
        update.quarantinedParts.push_back(part.value());
    }
}

bool UpdateFeed::setSilentServers(std::set<TargetId> silent)
{
    if (silent == m_silentServers) {
        return false;
    }
    m_silentServers = std::move(silent);
    m_silentServersPending = true;
    return true;
}

void UpdateFeed::addSilentServers(FleetUpdateMessage &update) const
{
    update.listsSilentServers = true;
    for (const auto &server : m_silentServers) {
        update.silentServers.push_back(server.value());
    }
}

static DepartureMessage toDepartureMessage(const ServerIdentity &server)
{
    return {.server = server.id.value(), .startedAt = server.startedAt.value()};
}

void UpdateFeed::addDepartures(FleetUpdateMessage &update) const
{
    for (const auto &[server, departure] : m_state.departures()) {
        if (!departure.anyStart) {
            update.departed.push_back(toDepartureMessage(server));
        }
    }
}

static HoldingMessage toHoldingMessage(const AdapterPlanner::HoldingChange &change)
{
    return {.server = change.server.value(),
            .model = change.adapter.model.value(),
            .adapter = change.adapter.adapter,
            .version = change.version,
            .readyAtMs = duration_cast<milliseconds>(change.readyAt.time_since_epoch()).count()};
}

ServerMessage UpdateFeed::toServerMessage(const ServerRegistry::Server &server) const
{
    const auto &heartbeat = server.lastHeartbeat;
    ServerMessage message;
    message.id = heartbeat.identity.id.value();
    message.startedAt = heartbeat.identity.startedAt.value();
    message.service = heartbeat.service.value();
    message.endpoint = heartbeat.endpoint.toString();
    message.zone = heartbeat.zone.value();
    message.slots = heartbeat.slots;
    message.draining = server.draining;
    for (const auto &model : heartbeat.models) {
        message.models.push_back(model.name.value());
    }
    return message;
}

void UpdateFeed::addState(FleetUpdateMessage &update, std::uint64_t configurationVersion, Revision revision) const
{
    update.configurationVersion = m_state.configurationVersion();
    if (m_state.document() && configurationVersion < m_state.configurationVersion()) {
        update.document = *m_state.document();
    }
    if (revision < m_state.revision()) {
        for (const auto &[key, version] : m_state.weightVersions()) {
            update.versions.push_back({.model = key.model.value(), .adapter = key.adapter, .version = version});
        }
    }
}

void UpdateFeed::addCompleteList(FleetUpdateMessage &update) const
{
    update.complete = true;
    for (const auto &[id, server] : m_registry.servers()) {
        update.all.push_back(id.value());
    }
}

SharedFrame UpdateFeed::encode(const FleetUpdateMessage &update)
{
    ++m_encodedFrames;
    auto frame = encodeFrame(toMessage(update));
    if (frame.has_error()) {
        LogLine(LogLevel::Error, "update_not_encoded").add("reason", frame.error().detail);
        return nullptr;
    }
    return std::make_shared<const std::vector<std::uint8_t>>(std::move(frame).value());
}

ServerLoadMessage UpdateFeed::toLoadMessage(const std::string &server) const
{
    const auto load = m_loads.find(server);
    return load == m_loads.end() ? ServerLoadMessage{.server = server} : load->second;
}

bool UpdateFeed::publish()
{
    FleetUpdateMessage update;
    addState(update, m_publishedConfigurationVersion, m_publishedRevision);
    for (const auto &id : m_pendingServers) {
        const auto *server = m_registry.find(id);
        if (server == nullptr) {
            update.removed.push_back(id.value());
        } else {
            update.servers.push_back(toServerMessage(*server));
        }
    }
    for (const auto &server : m_pendingDepartures) {
        update.departed.push_back(toDepartureMessage(server));
    }
    for (const auto &[key, change] : m_pendingHoldings) {
        update.holdings.push_back(toHoldingMessage(change));
    }
    for (const auto &server : m_pendingLoads) {
        update.loads.push_back(toLoadMessage(server));
    }
    if (m_serversComplete && !m_completeListPublished) {
        addCompleteList(update);
    }
    if (m_suspectsPending) {
        addSuspects(update);
    }
    if (m_silentServersPending) {
        addSilentServers(update);
    }
    const bool empty = !update.listsPromptParts && !update.listsSilentServers && update.document.empty()
        && update.versions.empty() && update.removed.empty() && update.servers.empty() && update.departed.empty()
        && update.holdings.empty() && update.loads.empty() && !update.complete;
    m_publishedConfigurationVersion = m_state.configurationVersion();
    m_publishedRevision = m_state.revision();
    m_completeListPublished = m_serversComplete;
    m_pendingServers.clear();
    m_pendingDepartures.clear();
    m_pendingHoldings.clear();
    m_pendingLoads.clear();
    m_suspectsPending = false;
    m_silentServersPending = false;
    if (empty) {
        return false;
    }
    auto frame = encode(update);
    if (!frame) {
        // The next whole state contains what this update would have said.
        restart();
        return true;
    }
    m_updates.push_back(std::move(frame));
    ++m_lastUpdate;
    if (m_updates.size() > MaxKeptUpdates) {
        m_updates.pop_front();
    }
    return true;
}

void UpdateFeed::refreshSnapshot()
{
    if (!m_snapshot.empty() && m_snapshotUpdate + m_updates.size() >= m_lastUpdate) {
        return;
    }
    m_snapshot.clear();
    m_snapshotUpdate = m_lastUpdate;
    FleetUpdateMessage update;
    const auto addFrame = [&] {
        if (auto frame = encode(update)) {
            m_snapshot.push_back(std::move(frame));
        }
        update = {};
        update.configurationVersion = m_state.configurationVersion();
    };
    addState(update, 0, Revision());
    addSuspects(update);
    addSilentServers(update);
    addFrame();
    // In a frame of their own, as there may be many after a release.
    addDepartures(update);
    addFrame();
    for (const auto &[id, server] : m_registry.servers()) {
        update.servers.push_back(toServerMessage(server));
    }
    if (m_serversComplete) {
        addCompleteList(update);
    }
    if (m_loadsKnown) {
        for (const auto &[id, server] : m_registry.servers()) {
            update.loads.push_back(toLoadMessage(id.value()));
        }
    }
    // In the frame of the first holdings, so that none of them is forgotten.
    for (const auto &id : m_planner.serversWithKnownState()) {
        update.relisted.push_back(id.value());
    }
    for (const auto &holding : m_planner.holdings()) {
        update.holdings.push_back(toHoldingMessage(holding));
        if (update.holdings.size() == MaxHoldingsPerFrame) {
            addFrame();
        }
    }
    addFrame();
}

std::vector<SharedFrame> UpdateFeed::framesAfter(Position &position)
{
    std::vector<SharedFrame> frames;
    const auto firstKept = m_lastUpdate - m_updates.size();
    if (position.epoch != m_epoch || position.update < firstKept) {
        refreshSnapshot();
        frames = m_snapshot;
        position.epoch = m_epoch;
        position.update = m_snapshotUpdate;
    }
    for (auto next = position.update; next < m_lastUpdate; ++next) {
        frames.push_back(m_updates[next - firstKept]);
    }
    position.update = m_lastUpdate;
    return frames;
}

std::uint64_t UpdateFeed::encodedFrames() const
{
    return m_encodedFrames;
}

} // namespace tamarackcove
