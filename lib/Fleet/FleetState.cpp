#include "tamarackcove/Fleet/FleetState.h"

#include <algorithm>

namespace tamarackcove {

/// Sets the time of the suspect, and drops the oldest one if there are too many.
static void addBounded(FleetState::SuspectTimes &suspects, const CrashSuspect &suspect,
                       std::chrono::system_clock::time_point time)
{
    suspects[suspect] = time;
    if (suspects.size() > FleetState::MaxSuspects) {
        suspects.erase(std::min_element(suspects.begin(), suspects.end(),
                                        [](const auto &a, const auto &b) { return a.second < b.second; }));
    }
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
        std::erase_if(m_image.departures, [&](const auto &item) { return item.second.at + DepartureRetention < time; });
        auto &noted = m_image.departures[departure->server];
        noted.service = departure->service;
        noted.gone = noted.gone || departure->gone;
        noted.at = time;
        if (departure->gone) {
            m_image.servers.erase(departure->server.id);
        }
    } else if (const auto *duty = std::get_if<TakeOrderDuty>(&command)) {
        m_image.duty = {.holder = duty->holder, .boot = duty->boot, .fence = FencingNumber(index)};
    } else if (const auto *noted = std::get_if<NoteServer>(&command)) {
        if (noted->registered) {
            m_image.servers[noted->server.identity.id] = noted->server;
        } else {
            m_image.servers.erase(noted->server.identity.id);
        }
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
