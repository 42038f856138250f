#include "PeerLinks.h"

#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Supervision/Listening.h"

#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;
using asio::ip::tcp;

namespace tamarackcove {

static constexpr milliseconds ConnectTimeout{500};
static constexpr milliseconds GreetingTimeout{1000};
static constexpr milliseconds WriteTimeout{1000};
static constexpr milliseconds PingInterval{300};
/// A connection without an answer to its pings for this long is replaced. Three pings may be lost or late.
static constexpr milliseconds PongTimeout{1000};
static constexpr milliseconds IncomingTimeout{3000};
static constexpr milliseconds FirstBackoff{20};
static constexpr milliseconds MaxBackoff{500};
/// Beyond it a slow peer loses the oldest messages; the leader sends them again.
static constexpr std::size_t MaxQueued = 1024;

struct PeerLinks::Peer
{
    Peer(ControlPeer peerSettings, const asio::any_io_executor &executor)
        : settings(std::move(peerSettings))
        , wake(executor, TimePoint::max())
    {
    }

    ControlPeer settings;
    /// What the peer said on the newest connection in either direction.
    ReplicaId identity;
    std::optional<Endpoint> administration;
    std::string boot;
    /// Named in the settings: the group is formed with it.
    bool founder = false;
    /// Whether the connection to it is open, and whether the peer belonged to no group when it was opened.
    bool connected = false;
    bool empty = false;
    std::deque<ReplicaMessage> queue;
    asio::steady_timer wake;
};

PeerLinks::PeerLinks(Supervisor &supervisor, ReplicaDriver &driver, const ReplicaSettings &settings,
                     std::function<bool(const std::string &peer)> passes)
    : m_supervisor(supervisor)
    , m_driver(driver)
    , m_settings(settings)
    , m_passes(std::move(passes))
{
    for (const auto &peer : settings.peers) {
        m_peers[peer.name] = std::make_unique<Peer>(peer, supervisor.executor());
        m_peers[peer.name]->founder = true;
    }
}

PeerLinks::~PeerLinks() = default;

Result<void, StorageError> PeerLinks::listen()
{
    if (m_peers.empty() && !m_settings.locate) {
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
    m_started = true;
    for (auto &[name, peer] : m_peers) {
        startPeer(name, *peer);
    }
    for (const auto &member : m_driver.replica().group().members) {
        meet(member.name);
    }
    formGroupIfAllAreEmpty();
}

void PeerLinks::startPeer(const std::string &name, Peer &peer)
{
    m_supervisor.start("peer-" + name, [this, &peer] { return runPeer(peer); }, {.restart = Restart::Always});
}

PeerLinks::Peer *PeerLinks::meet(const std::string &name)
{
    const auto found = m_peers.find(name);
    if (found != m_peers.end()) {
        return found->second.get();
    }
    if (!m_settings.locate || name == m_settings.name) {
        return nullptr;
    }
    const auto endpoint = m_settings.locate(name);
    if (!endpoint) {
        return nullptr;
    }
    LogLine(LogLevel::Info, "peer_met").add("peer", name);
    auto &peer = m_peers[name];
    peer = std::make_unique<Peer>(ControlPeer{.name = name, .endpoint = *endpoint}, m_supervisor.executor());
    if (m_started) {
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

void PeerLinks::advertise(Endpoint administration)
{
    m_settings.administration = std::move(administration);
}

void PeerLinks::send(ReplicaMessage message)
{
    for (auto &[name, peer] : m_peers) {
        if (peer->identity != message.to || !peer->connected) {
            continue;
        }
        if (peer->queue.size() >= MaxQueued) {
            peer->queue.pop_front();
        }
        peer->queue.push_back(std::move(message));
        peer->wake.cancel();
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

bool PeerLinks::passes(const std::string &peer) const
{
    return !m_passes || m_passes(peer);
}

PeerHello PeerLinks::ownHello() const
{
    PeerHello hello;
    hello.name = m_settings.name;
    hello.identity = m_driver.replica().self().value();
    hello.group = m_driver.empty() ? "" : m_driver.replica().group().groupId;
    // A replica that has voted but holds no group yet is not empty either.
    if (hello.group.empty() && !m_driver.empty()) {
        hello.group = "joining";
    }
    hello.administration = m_settings.administration.toString();
    hello.connected = connectedPeers();
    hello.boot = m_settings.boot;
    return hello;
}

bool PeerLinks::learnIdentity(Peer &peer, const PeerHello &hello)
{
    if (hello.identity.empty() || hello.identity == m_driver.replica().self().value()) {
        LogLine(LogLevel::Error, "peer_refused")
            .add("peer", peer.settings.name)
            .add("reason", "it has the identity of this replica; one data folder is a copy of the other, empty it");
        return false;
    }
    if (peer.identity.value() != hello.identity) {
        peer.identity = ReplicaId(hello.identity);
        peer.queue.clear();
        LogLine(LogLevel::Info, "peer_identified").add("peer", peer.settings.name).add("identity", hello.identity);
    }
    peer.administration = Endpoint::parse(hello.administration);
    peer.boot = hello.boot;
    m_driver.replica().peerSeen(peer.settings.name, peer.identity);
    m_driver.scheduleStep();
    return true;
}

void PeerLinks::formGroupIfAllAreEmpty()
{
    // Only when every peer says that it belongs to no group can none of them hold one that this host has lost. The
    // first name does it, so that no two replicas form a group at the same time.
    const bool first = std::all_of(m_peers.begin(), m_peers.end(), [&](const auto &item) {
        return !item.second->founder || m_settings.name < item.first;
    });
    const bool allEmpty = std::all_of(m_peers.begin(), m_peers.end(), [](const auto &item) {
        return !item.second->founder || (item.second->connected && item.second->empty);
    });
    if (!m_settings.mayFormGroup || !first || !allEmpty || !m_driver.empty()) {
        return;
    }
    ReplicaGroup group;
    group.groupId = randomIdentity();
    group.members.push_back({.id = m_driver.replica().self(), .name = m_settings.name, .voter = true});
    for (const auto &[name, peer] : m_peers) {
        if (peer->founder) {
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
    auto backoff = FirstBackoff;
    for (;;) {
        auto connected = co_await FramedConnection::connect(peer.settings.endpoint, ConnectTimeout);
        if (connected.has_value()) {
            auto &connection = *connected.value();
            if (co_await greet(connection, peer)) {
                backoff = FirstBackoff;
                peer.connected = true;
                formGroupIfAllAreEmpty();
                co_await (writeMessages(connection, peer) || readPongs(connection));
                LogLine(LogLevel::Info, "peer_disconnected").add("peer", peer.settings.name);
            }
        }
        peer.connected = false;
        peer.queue.clear();
        asio::steady_timer timer(m_supervisor.executor(), backoff);
        backoff = std::min(2 * backoff, MaxBackoff);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<bool> PeerLinks::greet(FramedConnection &connection, Peer &peer)
{
    auto hello = toMessage(ownHello());
    if (!passes(peer.settings.name)) {
        co_return false;
    }
    const auto sent = co_await connection.write(std::move(hello), GreetingTimeout);
    if (sent.has_error()) {
        co_return false;
    }
    const auto reply = co_await connection.read(GreetingTimeout);
    if (reply.has_error()) {
        co_return false;
    }
    const auto welcome = fromMessage<PeerHello>(reply.value());
    if (welcome.has_error() || welcome.value().name != peer.settings.name) {
        LogLine(LogLevel::Warning, "peer_refused")
            .add("peer", peer.settings.name)
            .add("reason", "another process answers on its endpoint; check the peers setting");
        co_return false;
    }
    peer.empty = welcome.value().group.empty();
    for (const auto &name : welcome.value().connected) {
        (void)meet(name);
    }
    co_return learnIdentity(peer, welcome.value());
}

asio::awaitable<void> PeerLinks::writeMessages(FramedConnection &connection, Peer &peer)
{
    auto nextPing = Clock::now() + PingInterval;
    auto counted = connection.bytesWritten();
    for (;;) {
        Message message{.type = "peer_ping", .body = nullptr};
        if (!peer.queue.empty()) {
            message = encodeReplicaMessage(peer.queue.front());
            peer.queue.pop_front();
        } else if (Clock::now() < nextPing) {
            peer.wake.expires_at(nextPing);
            boost::system::error_code ignored;
            co_await peer.wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        } else {
            nextPing = Clock::now() + PingInterval;
        }
        if (!passes(peer.settings.name)) {
            continue;
        }
        const auto written = co_await connection.write(std::move(message), WriteTimeout);
        if (written.has_error()) {
            co_return;
        }
        m_bytesSent += connection.bytesWritten() - counted;
        counted = connection.bytesWritten();
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
        m_supervisor.startTemporary("peer-incoming-" + std::to_string(++m_accepted),
                                    [this, connection] { return serveIncoming(connection); });
    });
}

asio::awaitable<void> PeerLinks::serveIncoming(std::shared_ptr<FramedConnection> connection)
{
    const auto first = co_await connection->read(GreetingTimeout);
    if (first.has_error()) {
        co_return;
    }
    const auto hello = fromMessage<PeerHello>(first.value());
    auto *peer = hello.has_value() ? meet(hello.value().name) : nullptr;
    if (peer == nullptr) {
        LogLine(LogLevel::Warning, "peer_refused")
            .add("peer", connection->peerName())
            .add("reason", "its name is not in the peers setting");
        co_return;
    }
    if (!learnIdentity(*peer, hello.value())) {
        co_return;
    }
    for (const auto &name : hello.value().connected) {
        (void)meet(name);
    }
    auto welcome = toMessage(ownHello());
    const auto sent = co_await connection->write(std::move(welcome), GreetingTimeout);
    if (sent.has_error()) {
        co_return;
    }
    const ReplicaId from(hello.value().identity);
    for (;;) {
        const auto message = co_await connection->read(IncomingTimeout);
        if (message.has_error()) {
            co_return;
        }
        if (!passes(hello.value().name)) {
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
        m_driver.replica().receive(decoded.value(), Clock::now());
        m_driver.scheduleStep();
    }
}

} // namespace tamarackcove
