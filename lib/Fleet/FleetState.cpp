#include "tamarackcove/Fleet/FleetState.h"

#include <algorithm>

namespace tamarackcove {

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
    } else if (const auto *quarantine = std::get_if<QuarantinePromptPart>(&command)) {
        std::erase_if(m_image.quarantinedParts, [&](const auto &item) { return item.second + QuarantineTime < time; });
        m_image.quarantinedParts[quarantine->part] = time;
        // The revision stays the same, for the same reason.
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

const std::map<PromptPart, std::chrono::system_clock::time_point> &FleetState::quarantinedParts() const
{
    return m_image.quarantinedParts;
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
