#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Entry/ZoneOptions.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <vector>

namespace tamarackcove {

class PeerNetwork;
class Supervisor;
class ViewPublisher;

/// The links of a zone coordinator to the coordinators of the other zones. One task for each zone finds the coordinator
/// there and adds its summary to the view of this zone.
///
/// Thread safety: used on one thread.
class RemoteZones
{
public:
    /// Precondition: all references outlive the object.
    RemoteZones(const ZoneOptions &options, PeerNetwork &network, ViewPublisher &publisher);

    /// Starts one task for each other zone that the settings list.
    void start(Supervisor &supervisor);

private:
    boost::asio::awaitable<void> followZone(Zone zone);
    boost::asio::awaitable<EntryId> followEntry(Zone zone, const ZonePeer &peer);

    const ZoneOptions &m_options;
    PeerNetwork &m_network;
    ViewPublisher &m_publisher;
    std::map<Zone, std::vector<ZonePeer>> m_zones;
    /// When this entry last received a message from any entry of the zone.
    std::map<Zone, TimePoint> m_lastHeardAt;
};

} // namespace tamarackcove
