#include "tamarackcove/Entry/Coordinator/RemoteZones.h"

#include "../Peers/TaskWaits.h"
#include "tamarackcove/Entry/Coordinator/ViewPublisher.h"
#include "tamarackcove/Entry/Peers/PeerLink.h"
#include "tamarackcove/Entry/Peers/PeerNetwork.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Wire/Codec.h"
#include "tamarackcove/Wire/FramedConnection.h"

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <utility>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr milliseconds RetryInterval{300};
// Another zone counts as unreachable when none of its entries has sent a message for this long. This is longer than an
// election there, during which its entries still serve requests.
static constexpr milliseconds UnreachableAfter{5000};

RemoteZones::RemoteZones(const ZoneOptions &options, PeerNetwork &network, ViewPublisher &publisher)
    : m_options(options)
    , m_network(network)
    , m_publisher(publisher)
{
    for (const auto &peer : options.peers) {
        if (peer.zone != options.zone) {
            m_zones[peer.zone].push_back(peer);
        }
    }
}

void RemoteZones::start(Supervisor &supervisor)
{
    for (const auto &[zone, peers] : m_zones) {
        supervisor.start("zone_" + zone.value(), [this, zone = zone] { return followZone(zone); });
    }
}

asio::awaitable<void> RemoteZones::followZone(Zone zone)
{
    const auto &peers = m_zones.at(zone);
    std::size_t nextPeer = m_options.seed % peers.size();
    EntryId coordinator;
    while (true) {
        const auto namedPeer
            = std::find_if(peers.begin(), peers.end(), [&](const ZonePeer &peer) { return peer.id == coordinator; });
        const auto peer = namedPeer != peers.end() ? *namedPeer : peers[nextPeer++ % peers.size()];
        coordinator = co_await followEntry(zone, peer);
        const auto lastHeard = m_lastHeardAt.find(zone);
        if (lastHeard == m_lastHeardAt.end() || Clock::now() - lastHeard->second > UnreachableAfter) {
            m_publisher.setRemoteEntries(zone, {});
        }
        if (coordinator.empty() || coordinator == peer.id) {
            coordinator = EntryId();
            co_await pause(RetryInterval);
        }
    }
}

/// Connects to an entry of another zone. If it is the coordinator there, follows its summary until the link ends and
/// returns an empty id. Otherwise returns the id of the coordinator that the entry names in its hello message; the id
/// is empty if the connection fails, the entry is in a zone other than expected, or it names no coordinator.
asio::awaitable<EntryId> RemoteZones::followEntry(Zone zone, const ZonePeer &peer)
{
    auto greeted = co_await m_network.connectWithHello(peer.peer);
    if (greeted.has_error()) {
        co_return EntryId();
    }
    auto [hello, connection] = std::move(greeted).value();
    if (hello.zone != zone.value()) {
        co_return EntryId();
    }
    m_lastHeardAt[zone] = Clock::now();
    if (hello.coordinator != hello.entry) {
        co_return EntryId(hello.coordinator);
    }
    std::set<std::string> held;
    PeerLink::Hooks hooks;
    hooks.onMessage = [&](const Message &message) {
        m_lastHeardAt[zone] = Clock::now();
        if (message.type != ZoneSummaryMessage::Type) {
            return;
        }
        const auto summary = fromMessage<ZoneSummaryMessage>(message);
        if (summary.has_error()) {
            LogLine(LogLevel::Warning, "zone_summary_refused").add("reason", summary.error().detail);
            return;
        }
        if (summary.value().full) {
            m_publisher.clearRemoteResidency(zone);
        }
        for (const auto &name : summary.value().resident) {
            if (const auto adapter = AdapterRef::parse(name)) {
                m_publisher.setRemoteResidency(zone, *adapter, true);
            }
        }
        for (const auto &name : summary.value().absent) {
            if (const auto adapter = AdapterRef::parse(name)) {
                m_publisher.setRemoteResidency(zone, *adapter, false);
            }
        }
        std::vector<EntryId> entries;
        for (const auto &entry : summary.value().entries) {
            entries.emplace_back(entry);
        }
        m_publisher.setRemoteEntries(zone, std::move(entries));
    };
    hooks.makeHeartbeat = [] {
        return toMessage(HeartbeatMessage());
    };
    hooks.heartbeatDelay = [this] {
        return m_options.heartbeatInterval;
    };
    PeerLink link(co_await asio::this_coro::executor, peer.id, std::move(connection), m_network.linkOptions(),
                  std::move(hooks));
    (void)co_await link.run();
    co_return EntryId();
}

} // namespace tamarackcove
