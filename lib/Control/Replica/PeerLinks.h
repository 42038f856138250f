#pragma once

#include "ReplicaDriver.h"
#include "tamarackcove/Control/Replica/ReplicaCodec.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Wire/FramedConnection.h"

#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace tamarackcove {

/// Connects this replica with its peers. Each replica sends messages on the connections that it opened and receives
/// messages on those that it accepted. Pings detect a connection on which the peer no longer answers, so that a new
/// connection replaces it.
///
/// Thread safety: used on the io thread.
class PeerLinks
{
public:
    /// Precondition: the driver and the supervisor outlive this object.
    PeerLinks(Supervisor &supervisor, ReplicaDriver &driver, const ReplicaSettings &settings,
              std::function<bool(const std::string &peer)> allowsTraffic = {});
    ~PeerLinks();
    PeerLinks(const PeerLinks &) = delete;
    PeerLinks &operator=(const PeerLinks &) = delete;

    /// Opens the listening socket. Does nothing when there are no peers and ReplicaSettings::locatePeer is not set.
    [[nodiscard]] Result<void, StorageError> listen();
    /// The port of the listening socket; 0 when it is not open.
    [[nodiscard]] std::uint16_t port() const;
    /// Starts the accepting task and one task for each peer.
    void start();
    void setAdministrationEndpoint(Endpoint administration);

    /// Queues a message for the peer with the identity `message.to`. Without a connection to that peer the message is
    /// dropped; the replica sends it again later.
    void send(ReplicaMessage message);
    /// Endpoint of the administration API that the replica with this identity sent last, if any.
    [[nodiscard]] std::optional<Endpoint> administrationOf(const ReplicaId &id) const;
    /// Identifier of the latest start that the process with this name has reported (PeerHello::boot), or that of this
    /// process if the name is its own; empty when the process has reported none.
    [[nodiscard]] std::string bootOf(const std::string &name) const;
    /// Bytes that this replica has written to its peers.
    [[nodiscard]] std::uint64_t bytesSent() const;

private:
    struct Peer;

    boost::asio::awaitable<void> runPeer(Peer &peer);
    boost::asio::awaitable<bool> exchangeHellos(FramedConnection &connection, Peer &peer);
    boost::asio::awaitable<void> writeMessages(FramedConnection &connection, Peer &peer);
    boost::asio::awaitable<void> readPongs(FramedConnection &connection);
    boost::asio::awaitable<void> acceptPeers();
    boost::asio::awaitable<void> serveIncoming(std::shared_ptr<FramedConnection> connection);
    [[nodiscard]] bool allowsTraffic(const std::string &peer) const;
    [[nodiscard]] PeerHello makeHello() const;
    void startPeer(const std::string &name, Peer &peer);
    /// Returns the peer of this name. Adds the peer when it is new and ReplicaSettings::locatePeer returns its
    /// endpoint; returns null when there is no endpoint.
    Peer *findOrAddPeer(const std::string &name);
    [[nodiscard]] std::vector<std::string> connectedPeers() const;
    /// Stores what the hello says about the peer. Returns false when the peer has no identity or that of this replica.
    [[nodiscard]] bool recordHello(Peer &peer, const PeerHello &hello);
    void formGroupIfAllUninitialised();

    Supervisor &m_supervisor;
    ReplicaDriver &m_driver;
    ReplicaSettings m_settings;
    std::function<bool(const std::string &peer)> m_allowsTraffic;
    std::map<std::string, std::unique_ptr<Peer>> m_peers;
    std::optional<boost::asio::ip::tcp::acceptor> m_acceptor;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_acceptedConnections = 0;
    bool m_peersStarted = false;
};

} // namespace tamarackcove
