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

/// The links of a coordinator to those of the other zones: one task for each zone, which finds the coordinator there
/// and puts its summary into the view of this zone.
///
/// Thread safety: used on one thread.
class RemoteZones
{
public:
    /// Precondition: all references outlive the object.
    RemoteZones(const ZoneOptions &options, PeerNetwork &network, ViewPublisher &publisher);

    /// Starts one task for each other zone of the settings.
    void start(Supervisor &supervisor);

private:
    boost::asio::awaitable<void> followZone(Zone zone);
    boost::asio::awaitable<EntryId> followEntry(Zone zone, const ZonePeer &peer);

    const ZoneOptions &m_options;
    PeerNetwork &m_network;
    ViewPublisher &m_publisher;
    std::map<Zone, std::vector<ZonePeer>> m_zones;
    /// When anything was last heard from the zone.
    std::map<Zone, TimePoint> m_heardAt;
};

} // namespace tamarackcove
