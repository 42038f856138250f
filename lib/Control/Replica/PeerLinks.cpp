#include "PeerLinks.h"

#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Supervision/Listening.h"
#include "tamarackcove/Supervision/Timer.h"

#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;
using asio::ip::tcp;

namespace tamarackcove {

static constexpr milliseconds ConnectTimeout{500};
static constexpr milliseconds HelloTimeout{1000};
static constexpr milliseconds WriteTimeout{1000};
static constexpr milliseconds PingInterval{300};
/// A connection on which no ping was answered for this long is replaced. This allows for three lost or late pings.
static constexpr milliseconds PongTimeout{1000};
/// An accepted connection on which nothing was received for this long is closed.
static constexpr milliseconds IncomingIdleTimeout{3000};
static constexpr milliseconds InitialBackoff{20};
static constexpr milliseconds MaxBackoff{500};
/// When more messages are queued for a slow peer, the oldest is dropped; the leader sends it again.
static constexpr std::size_t MaxQueuedMessages = 1024;

struct PeerLinks::Peer
{
    Peer(ControlPeer peerSettings, const asio::any_io_executor &executor)
        : settings(std::move(peerSettings))
        , wakeTimer(executor, TimePoint::max())
    {
    }

    ControlPeer settings;
    /// Identity, administration endpoint and boot value from the last hello of the peer, on a connection in either
    /// direction.
    ReplicaId identity;
    std::optional<Endpoint> administration;
    std::string boot;
    /// Whether the peer is named in ReplicaSettings::peers, so that a new group is formed with it.
    bool initialMember = false;
    /// Whether the connection that this replica opened to the peer is established.
    bool connected = false;
    /// Whether the hello of the peer on the connection that this replica opened named no group.
    bool uninitialised = false;
    std::deque<ReplicaMessage> queue;
    Timer wakeTimer;
};

PeerLinks::PeerLinks(Supervisor &supervisor, ReplicaDriver &driver, const ReplicaSettings &settings,
                     std::function<bool(const std::string &peer)> allowsTraffic)
    : m_supervisor(supervisor)
    , m_driver(driver)
    , m_settings(settings)
    , m_allowsTraffic(std::move(allowsTraffic))
{
    for (const auto &peer : settings.peers) {
        m_peers[peer.name] = std::make_unique<Peer>(peer, supervisor.executor());
        m_peers[peer.name]->initialMember = true;
    }
}

PeerLinks::~PeerLinks() = default;

Result<void, StorageError> PeerLinks::listen()
{
    if (m_peers.empty() && !m_settings.locatePeer) {
        return ok();
    }
    auto &acceptor = m_acceptor.emplace(m_supervisor.executor());
    const auto error = listenOn(acceptor, m_settings.listen);
    if (error) {
        return StorageError{StorageErrorCode::OpenFailed,
                            "cannot listen for control peers on " + m_settings.listen.toString() + ": "
                                + error.message()};
    }
    return ok();
}

std::uint16_t PeerLinks::port() const
{
    return m_acceptor ? m_acceptor->local_endpoint().port() : 0;
}

void PeerLinks::start()
{
    if (m_acceptor) {
        m_supervisor.start("replica-accept", [this] { return acceptPeers(); }, {.restart = Restart::Always});
    }
    m_peersStarted = true;
    for (auto &[name, peer] : m_peers) {
        startPeer(name, *peer);
    }
    for (const auto &member : m_driver.replica().group().members) {
        findOrAddPeer(member.name);
    }
    formGroupIfAllUninitialised();
}

void PeerLinks::startPeer(const std::string &name, Peer &peer)
{
    m_supervisor.start("peer-" + name, [this, &peer] { return runPeer(peer); }, {.restart = Restart::Always});
}

PeerLinks::Peer *PeerLinks::findOrAddPeer(const std::string &name)
{
    const auto found = m_peers.find(name);
    if (found != m_peers.end()) {
        return found->second.get();
    }
    if (!m_settings.locatePeer || name == m_settings.name) {
        return nullptr;
    }
    const auto endpoint = m_settings.locatePeer(name);
    if (!endpoint) {
        return nullptr;
    }
    LogLine(LogLevel::Info, "peer_met").add("peer", name);
    auto &peer = m_peers[name];
    peer = std::make_unique<Peer>(ControlPeer{.name = name, .endpoint = *endpoint}, m_supervisor.executor());
    if (m_peersStarted) {
        startPeer(name, *peer);
    }
    return peer.get();
}

std::vector<std::string> PeerLinks::connectedPeers() const
{
    std::vector<std::string> names;
    for (const auto &[name, peer] : m_peers) {
        if (peer->connected) {
            names.push_back(name);
        }
    }
    return names;
}

void PeerLinks::setAdministrationEndpoint(Endpoint administration)
{
    m_settings.administration = std::move(administration);
}

void PeerLinks::send(ReplicaMessage message)
{
    for (auto &[name, peer] : m_peers) {
        if (peer->identity != message.to || !peer->connected) {
            continue;
        }
        if (peer->queue.size() >= MaxQueuedMessages) {
            peer->queue.pop_front();
        }
        peer->queue.push_back(std::move(message));
        peer->wakeTimer.cancel();
        return;
    }
}

std::optional<Endpoint> PeerLinks::administrationOf(const ReplicaId &id) const
{
    if (id == m_driver.replica().self()) {
        return m_settings.administration;
    }
    for (const auto &[name, peer] : m_peers) {
        if (!id.empty() && peer->identity == id) {
            return peer->administration;
        }
    }
    return std::nullopt;
}

std::string PeerLinks::bootOf(const std::string &name) const
{
    if (name == m_settings.name) {
        return m_settings.boot;
    }
    const auto found = m_peers.find(name);
    return found == m_peers.end() ? std::string() : found->second->boot;
}

std::uint64_t PeerLinks::bytesSent() const
{
    return m_bytesSent;
}

bool PeerLinks::allowsTraffic(const std::string &peer) const
{
    return !m_allowsTraffic || m_allowsTraffic(peer);
}

PeerHello PeerLinks::makeHello() const
{
    PeerHello hello;
    hello.name = m_settings.name;
    hello.identity = m_driver.replica().self().value();
    hello.group = m_driver.isUninitialised() ? "" : m_driver.replica().group().groupId;
    // An empty group makes the peer count the sender as uninitialised and possibly form a new group with it. A replica
    // that has voted but has no group yet therefore sends "joining".
    if (hello.group.empty() && !m_driver.isUninitialised()) {
        hello.group = "joining";
    }
    hello.administration = m_settings.administration.toString();
    hello.connected = connectedPeers();
    hello.boot = m_settings.boot;
    return hello;
}

bool PeerLinks::recordHello(Peer &peer, const PeerHello &hello)
{
    if (hello.identity.empty() || hello.identity == m_driver.replica().self().value()) {
        LogLine(LogLevel::Error, "peer_refused")
            .add("peer", peer.settings.name)
            .add("reason",
                 "the peer has no identity or that of this replica; if one data folder is a copy of the other, empty "
                 "the copy");
        return false;
    }
    if (peer.identity.value() != hello.identity) {
        peer.identity = ReplicaId(hello.identity);
        peer.queue.clear();
        LogLine(LogLevel::Info, "peer_identified").add("peer", peer.settings.name).add("identity", hello.identity);
    }
    peer.administration = Endpoint::parse(hello.administration);
    peer.boot = hello.boot;
    m_driver.replica().recordPeerIdentity(peer.settings.name, peer.identity);
    m_driver.scheduleStep();
    return true;
}

void PeerLinks::formGroupIfAllUninitialised()
{
    // A new group is formed only when every initial member reports that it belongs to no group. Otherwise this host
    // may have lost the data of a group that one of the members still belongs to. Only the member whose name sorts
    // first forms the group, so that no two replicas do so at the same time.
    const bool hasLowestName = std::all_of(m_peers.begin(), m_peers.end(), [&](const auto &item) {
        return !item.second->initialMember || m_settings.name < item.first;
    });
    const bool allUninitialised = std::all_of(m_peers.begin(), m_peers.end(), [](const auto &item) {
        return !item.second->initialMember || (item.second->connected && item.second->uninitialised);
    });
    if (!m_settings.mayFormGroup || !hasLowestName || !allUninitialised || !m_driver.isUninitialised()) {
        return;
    }
    ReplicaGroup group;
    group.groupId = randomIdentity();
    group.members.push_back({.id = m_driver.replica().self(), .name = m_settings.name, .voter = true});
    for (const auto &[name, peer] : m_peers) {
        if (peer->initialMember) {
            group.members.push_back({.id = peer->identity, .name = name, .voter = true});
        }
    }
    LogLine(LogLevel::Info, "group_formed")
        .add("group", group.groupId)
        .add("voters", std::uint64_t{group.members.size()});
    m_driver.replica().bootstrap(std::move(group), Clock::now());
    m_driver.scheduleStep();
}

asio::awaitable<void> PeerLinks::runPeer(Peer &peer)
{
    using namespace asio::experimental::awaitable_operators;
    auto backoff = InitialBackoff;
    for (;;) {
        auto connected = co_await FramedConnection::connect(peer.settings.endpoint, ConnectTimeout);
        if (connected.has_value()) {
            auto &connection = *connected.value();
            if (co_await exchangeHellos(connection, peer)) {
                backoff = InitialBackoff;
                peer.connected = true;
                formGroupIfAllUninitialised();
                co_await (writeMessages(connection, peer) || readPongs(connection));
                LogLine(LogLevel::Info, "peer_disconnected").add("peer", peer.settings.name);
            }
        }
        peer.connected = false;
        peer.queue.clear();
        Timer timer(m_supervisor.executor(), backoff);
        backoff = std::min(2 * backoff, MaxBackoff);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<bool> PeerLinks::exchangeHellos(FramedConnection &connection, Peer &peer)
{
    auto helloMessage = toMessage(makeHello());
    if (!allowsTraffic(peer.settings.name)) {
        co_return false;
    }
    const auto sent = co_await connection.write(std::move(helloMessage), HelloTimeout);
    if (sent.has_error()) {
        co_return false;
    }
    const auto reply = co_await connection.read(HelloTimeout);
    if (reply.has_error()) {
        co_return false;
    }
    const auto peerHello = fromMessage<PeerHello>(reply.value());
    if (peerHello.has_error() || peerHello.value().name != peer.settings.name) {
        LogLine(LogLevel::Warning, "peer_refused")
            .add("peer", peer.settings.name)
            .add("reason",
                 "the hello from the endpoint of the peer is invalid or of another process; check the peers setting");
        co_return false;
    }
    peer.uninitialised = peerHello.value().group.empty();
    for (const auto &name : peerHello.value().connected) {
        (void)findOrAddPeer(name);
    }
    co_return recordHello(peer, peerHello.value());
}

asio::awaitable<void> PeerLinks::writeMessages(FramedConnection &connection, Peer &peer)
{
    auto nextPing = Clock::now() + PingInterval;
    auto countedBytes = connection.bytesWritten();
    for (;;) {
        Message message{.type = "peer_ping", .body = nullptr};
        if (!peer.queue.empty()) {
            message = encodeReplicaMessage(peer.queue.front());
            peer.queue.pop_front();
        } else if (Clock::now() < nextPing) {
            peer.wakeTimer.expires_at(nextPing);
            boost::system::error_code ignored;
            co_await peer.wakeTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        } else {
            nextPing = Clock::now() + PingInterval;
        }
        if (!allowsTraffic(peer.settings.name)) {
            continue;
        }
        const auto written = co_await connection.write(std::move(message), WriteTimeout);
        if (written.has_error()) {
            co_return;
        }
        m_bytesSent += connection.bytesWritten() - countedBytes;
        countedBytes = connection.bytesWritten();
    }
}

asio::awaitable<void> PeerLinks::readPongs(FramedConnection &connection)
{
    // GCC 12 resumes the coroutine wrongly when this wait is the condition of a while loop.
    for (;;) {
        const auto pong = co_await connection.read(PongTimeout);
        if (pong.has_error()) {
            co_return;
        }
    }
}

asio::awaitable<void> PeerLinks::acceptPeers()
{
    return acceptConnections(*m_acceptor, [this](tcp::socket socket) {
        auto connection = std::make_shared<FramedConnection>(std::move(socket));
        m_supervisor.startTemporary("peer-incoming-" + std::to_string(++m_acceptedConnections),
                                    [this, connection] { return serveIncoming(connection); });
    });
}

asio::awaitable<void> PeerLinks::serveIncoming(std::shared_ptr<FramedConnection> connection)
{
    const auto first = co_await connection->read(HelloTimeout);
    if (first.has_error()) {
        co_return;
    }
    const auto hello = fromMessage<PeerHello>(first.value());
    auto *peer = hello.has_value() ? findOrAddPeer(hello.value().name) : nullptr;
    if (peer == nullptr) {
        LogLine(LogLevel::Warning, "peer_refused")
            .add("peer", connection->peerName())
            .add("reason", "the hello is invalid, or the name in it is not in the peers setting");
        co_return;
    }
    if (!recordHello(*peer, hello.value())) {
        co_return;
    }
    for (const auto &name : hello.value().connected) {
        (void)findOrAddPeer(name);
    }
    auto replyHello = toMessage(makeHello());
    const auto sent = co_await connection->write(std::move(replyHello), HelloTimeout);
    if (sent.has_error()) {
        co_return;
    }
    const ReplicaId from(hello.value().identity);
    for (;;) {
        const auto message = co_await connection->read(IncomingIdleTimeout);
        if (message.has_error()) {
            co_return;
        }
        if (!allowsTraffic(hello.value().name)) {
            continue;
        }
        if (message.value().type == "peer_ping") {
            Message pong{.type = "peer_pong", .body = nullptr};
            const auto answered = co_await connection->write(std::move(pong), WriteTimeout);
            if (answered.has_error()) {
                co_return;
            }
            continue;
        }
        auto decoded = decodeReplicaMessage(message.value());
        if (decoded.has_error()) {
            LogLine(LogLevel::Warning, "peer_message_refused")
                .add("peer", hello.value().name)
                .add("reason", decoded.error().detail);
            co_return;
        }
        decoded.value().from = from;
        decoded.value().to = m_driver.replica().self();
        if (const auto refused = m_driver.replica().receive(decoded.value(), Clock::now())) {
            LogLine(LogLevel::Error, "peer_message_refused").add("peer", hello.value().name).add("reason", *refused);
            continue;
        }
        m_driver.scheduleStep();
    }
}

} // namespace tamarackcove
