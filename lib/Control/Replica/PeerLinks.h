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

/// Connects this replica with its peers. Each replica sends over the connection that it opened and receives over those
/// that it accepted; pings on each connection find one that has become silent while new ones would work.
///
/// Thread safety: used on the io thread.
class PeerLinks
{
public:
    /// Precondition: the driver and the supervisor outlive this object.
    PeerLinks(Supervisor &supervisor, ReplicaDriver &driver, const ReplicaSettings &settings,
              std::function<bool(const std::string &peer)> passes = {});
    ~PeerLinks();
    PeerLinks(const PeerLinks &) = delete;
    PeerLinks &operator=(const PeerLinks &) = delete;

    [[nodiscard]] Result<void, StorageError> listen();
    [[nodiscard]] std::uint16_t port() const;
    /// Starts the accepting task and one task for each peer.
    void start();
    void advertise(Endpoint administration);

    /// Queues a message for the peer with that identity; without a connection it is dropped and will be sent again.
    void send(ReplicaMessage message);
    [[nodiscard]] std::optional<Endpoint> administrationOf(const ReplicaId &id) const;
    /// The start of the process of that name that was last heard of.
    [[nodiscard]] std::string bootOf(const std::string &name) const;
    /// Bytes that this replica has written to its peers.
    [[nodiscard]] std::uint64_t bytesSent() const;

private:
    struct Peer;

    boost::asio::awaitable<void> runPeer(Peer &peer);
    boost::asio::awaitable<bool> greet(FramedConnection &connection, Peer &peer);
    boost::asio::awaitable<void> writeMessages(FramedConnection &connection, Peer &peer);
    boost::asio::awaitable<void> readPongs(FramedConnection &connection);
    boost::asio::awaitable<void> acceptPeers();
    boost::asio::awaitable<void> serveIncoming(std::shared_ptr<FramedConnection> connection);
    [[nodiscard]] bool passes(const std::string &peer) const;
    [[nodiscard]] PeerHello ownHello() const;
    void startPeer(const std::string &name, Peer &peer);
    /// The peer of this name, which is added when it can be located; null when it cannot.
    Peer *meet(const std::string &name);
    [[nodiscard]] std::vector<std::string> connectedPeers() const;
    [[nodiscard]] bool learnIdentity(Peer &peer, const PeerHello &hello);
    void formGroupIfAllAreEmpty();

    Supervisor &m_supervisor;
    ReplicaDriver &m_driver;
    ReplicaSettings m_settings;
    std::function<bool(const std::string &peer)> m_passes;
    std::map<std::string, std::unique_ptr<Peer>> m_peers;
    std::optional<boost::asio::ip::tcp::acceptor> m_acceptor;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_accepted = 0;
    bool m_started = false;
};

} // namespace tamarackcove
