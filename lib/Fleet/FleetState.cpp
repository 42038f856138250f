#include "tamarackcove/Fleet/FleetState.h"

#include <algorithm>

namespace tamarackcove {

/// Drops the oldest item if there are too many. `timeOf` returns the time of an item.
template<typename Map, typename TimeOf>
static void limitSize(Map &items, std::size_t maxSize, TimeOf timeOf)
{
    if (items.size() > maxSize) {
        items.erase(std::min_element(items.begin(), items.end(), [&](const auto &a, const auto &b) {
            return timeOf(a.second) < timeOf(b.second);
        }));
    }
}

/// Drops the oldest of the items that are older than the retention time, but for the newest KeptDepartures.
template<typename Map>
static void dropOld(Map &items, std::chrono::system_clock::time_point time)
{
    while (items.size() > FleetState::KeptDepartures) {
        const auto oldest = std::min_element(items.begin(), items.end(),
                                             [](const auto &a, const auto &b) { return a.second.at < b.second.at; });
        if (oldest->second.at + FleetState::DepartureRetention >= time) {
            return;
        }
        items.erase(oldest);
    }
}

/// Sets the time of the suspect, and drops the oldest one if there are too many.
static void addBounded(FleetState::SuspectTimes &suspects, const CrashSuspect &suspect,
                       std::chrono::system_clock::time_point time)
{
    suspects[suspect] = time;
    limitSize(suspects, FleetState::MaxSuspects, [](const auto &at) { return at; });
}

void FleetState::noteDeparture(const NoteDeparture &departure, std::chrono::system_clock::time_point time)
{
    auto &departures = m_image.departures;
    std::erase_if(departures, [&](const auto &item) {
        return item.first.startedAt == Incarnation() && item.second.at + DepartureRetention < time;
    });
    auto identity = departure.server;
    bool startKnown = departure.startKnown;
    if (!startKnown) {
        const auto registered = m_image.servers.find(identity.id);
        const auto former = m_image.formerServers.find(identity.id);
        startKnown = registered != m_image.servers.end() || former != m_image.formerServers.end();
        if (startKnown) {
            identity.startedAt = registered != m_image.servers.end() ? registered->second.identity.startedAt
                                                                     : former->second.lastStart;
        }
    }
    auto &noted = departures[identity];
    noted.service = departure.service;
    noted.gone = noted.gone || departure.gone;
    noted.at = time;
    noted.anyStart = noted.anyStart || !startKnown;
    dropOld(departures, time);
    limitSize(departures, MaxDepartures, [](const Departure &item) { return item.at; });
    if (departure.gone) {
        m_image.servers.erase(identity.id);
    }
}

void FleetState::noteServer(const NoteServer &noted, std::chrono::system_clock::time_point time)
{
    const auto &identity = noted.server.identity;
    auto &formerServers = m_image.formerServers;
    if (!noted.registered) {
        const auto registered = m_image.servers.find(identity.id);
        if (registered != m_image.servers.end() && registered->second.identity.startedAt > identity.startedAt) {
            return;
        }
        formerServers[identity.id] = {.lastStart = identity.startedAt, .at = time};
        dropOld(formerServers, time);
        limitSize(formerServers, MaxDepartures, [](const FormerServer &item) { return item.at; });
        m_image.servers.erase(identity.id);
        return;
    }
    const auto departure = m_image.departures.find(identity);
    if (departure != m_image.departures.end() && departure->second.gone && !departure->second.anyStart) {
        // Proposed before the departure and appended after it.
        return;
    }
    std::erase_if(m_image.departures,
                  [&](const auto &item) { return item.first.id == identity.id && item.second.anyStart; });
    formerServers.erase(identity.id);
    m_image.servers[identity.id] = noted.server;
}

void FleetState::apply(std::uint64_t index, std::chrono::system_clock::time_point time, const FleetCommand &command)
{
    if (const auto *put = std::get_if<PutConfiguration>(&command)) {
        if (put->version <= m_image.configurationVersion) {
            return;
        }
        m_image.configurationVersion = put->version;
        m_image.document = std::make_shared<const std::string>(put->document);
    } else if (const auto *versions = std::get_if<PutWeightVersion>(&command)) {
        auto &version = m_image.weightVersions[versions->key];
        if (versions->version <= version) {
            return;
        }
        version = versions->version;
    } else if (const auto *departure = std::get_if<NoteDeparture>(&command)) {
        noteDeparture(*departure, time);
    } else if (const auto *duty = std::get_if<TakeOrderDuty>(&command)) {
        m_image.duty = {.holder = duty->holder, .boot = duty->boot, .fence = FencingNumber(index)};
    } else if (const auto *noted = std::get_if<NoteServer>(&command)) {
        noteServer(*noted, time);
        // The revision stays the same: a higher one makes the leader send the versions of weights to entries again.
        // Entries learn of servers from the registry of the leader, not from this record.
        return;
    } else if (const auto *quarantine = std::get_if<QuarantineSuspect>(&command)) {
        addBounded(m_image.quarantinedSuspects, quarantine->suspect, time);
        m_image.suspectsOnProbation.erase(quarantine->suspect);
        // The revision stays the same, for the same reason.
        return;
    } else if (const auto *release = std::get_if<ReleaseSuspect>(&command)) {
        m_image.quarantinedSuspects.erase(release->suspect);
        std::erase_if(m_image.suspectsOnProbation,
                      [&](const auto &item) { return item.second + ProbationTime < time; });
        if (release->onProbation) {
            addBounded(m_image.suspectsOnProbation, release->suspect, time);
        } else {
            m_image.suspectsOnProbation.erase(release->suspect);
        }
        return;
    }
    m_image.revision = Revision(index);
}

Revision FleetState::revision() const
{
    return m_image.revision;
}

std::uint64_t FleetState::configurationVersion() const
{
    return m_image.configurationVersion;
}

const std::shared_ptr<const std::string> &FleetState::document() const
{
    return m_image.document;
}

const std::map<AdapterKey, std::uint64_t> &FleetState::weightVersions() const
{
    return m_image.weightVersions;
}

const std::map<ServerIdentity, FleetState::Departure> &FleetState::departures() const
{
    return m_image.departures;
}

bool FleetState::hasEnded(const TargetId &id) const
{
    return !m_image.servers.contains(id)
        && std::any_of(m_image.departures.begin(), m_image.departures.end(),
                       [&](const auto &item) { return item.first.id == id && item.second.gone; });
}

const FleetState::OrderDuty &FleetState::duty() const
{
    return m_image.duty;
}

const FleetState::SuspectTimes &FleetState::quarantinedSuspects() const
{
    return m_image.quarantinedSuspects;
}

const FleetState::SuspectTimes &FleetState::suspectsOnProbation() const
{
    return m_image.suspectsOnProbation;
}

const std::map<TargetId, ServerHeartbeat> &FleetState::servers() const
{
    return m_image.servers;
}

const FleetState::Image &FleetState::image() const
{
    return m_image;
}

void FleetState::restore(Image image)
{
    m_image = std::move(image);
}

} // namespace tamarackcove
