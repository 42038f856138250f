#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Entry/Peers/PeerLink.h"
#include "tamarackcove/Entry/Peers/PeerMessages.h"
#include "tamarackcove/Entry/Peers/PeerTraffic.h"
#include "tamarackcove/Entry/ZoneOptions.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tamarackcove {

class FramedConnection;
class Supervisor;

/// The connections between this entry and other entries: one task for each peer of the zone, and one task for each
/// connection from the coordinator of another zone.
///
/// Of two entries of a zone, the one with the lower name connects to the other. A new connection from a peer replaces
/// the old one, because a connection can fail without an error on this side.
/// Thread safety: used on one thread.
class PeerNetwork
{
public:
    struct Hooks
    {
        std::function<HelloMessage()> hello;
        std::function<void(PeerLink &link)> onLinkUp;
        std::function<void(PeerLink &link, const Message &message)> onMessage;
        std::function<Message(PeerLink &link)> makeHeartbeat;
        std::function<milliseconds(const PeerLink &link)> heartbeatDelay;
        /// Called when a coordinator of another zone has connected to receive the summaries of this zone.
        std::function<void(PeerLink &link)> onRemoteZoneLinkUp;
        std::function<void(PeerLink &link)> onRemoteZoneLinkDown;
    };

    /// Precondition: the options outlive the object.
    PeerNetwork(const ZoneOptions &options, Hooks hooks);
    ~PeerNetwork();

    Result<void, std::string> listen(const boost::asio::any_io_executor &executor);
    [[nodiscard]] std::uint16_t port() const;
    /// Starts the task that accepts connections and one task for each peer that this entry connects to.
    /// Precondition: listen() has succeeded.
    void start(Supervisor &supervisor);

    /// Sends to a peer of the zone. Returns false when there is no link to it.
    bool send(const EntryId &peer, Message message);
    void broadcast(const Message &message);
    [[nodiscard]] PeerLink *link(const EntryId &peer) const;
    [[nodiscard]] std::vector<PeerLink *> links() const;
    /// The traffic of all links since the start, including closed links.
    [[nodiscard]] PeerTraffic traffic() const;

    /// Connects to another entry, of this or another zone, and exchanges hello messages.
    boost::asio::awaitable<Result<std::pair<HelloMessage, std::unique_ptr<FramedConnection>>, std::string>>
    connectWithHello(Endpoint endpoint);
    [[nodiscard]] PeerLink::Options linkOptions() const;

private:
    using Links = std::map<EntryId, PeerLink *>;

    boost::asio::awaitable<void> accept(Supervisor &supervisor);
    boost::asio::awaitable<void> maintainLink(ZonePeer peer);
    boost::asio::awaitable<void> serveIncoming(std::unique_ptr<FramedConnection> connection);
    boost::asio::awaitable<void> runZoneLink(EntryId peer, std::unique_ptr<FramedConnection> connection);
    boost::asio::awaitable<void> runRemoteZoneLink(EntryId peer, std::unique_ptr<FramedConnection> connection);
    void addTraffic(const PeerLink &link);
    [[nodiscard]] bool isZonePeer(const EntryId &peer) const;

    const ZoneOptions &m_options;
    Hooks m_hooks;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    Links m_links;
    std::vector<PeerLink *> m_remoteZoneLinks;
    PeerTraffic m_closedLinkTraffic;
};

} // namespace tamarackcove
