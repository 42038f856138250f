#include "tamarackcove/Entry/Peers/PeerNetwork.h"

#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Supervision/Timer.h"
#include "tamarackcove/Wire/Codec.h"
#include "tamarackcove/Wire/FramedConnection.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace asio = boost::asio;
using asio::ip::tcp;

namespace tamarackcove {

static constexpr milliseconds ConnectTimeout{1000};
static constexpr milliseconds HelloTimeout{2000};
static constexpr milliseconds MinReconnectDelay{100};
static constexpr milliseconds MaxReconnectDelay{1000};

PeerNetwork::PeerNetwork(const ZoneOptions &options, Hooks hooks)
    : m_options(options)
    , m_hooks(std::move(hooks))
{
}

PeerNetwork::~PeerNetwork() = default;

Result<void, std::string> PeerNetwork::listen(const asio::any_io_executor &executor)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(m_options.listen.host, error);
    if (error) {
        return "peer_listen " + m_options.listen.toString() + " is not an IP address and port";
    }
    const tcp::endpoint endpoint(address, m_options.listen.port);
    auto acceptor = std::make_unique<tcp::acceptor>(executor);
    acceptor->open(endpoint.protocol(), error);
    if (!error) {
        acceptor->set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor->bind(endpoint, error);
    }
    if (!error) {
        acceptor->listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return "cannot listen on peer_listen " + m_options.listen.toString() + ": " + error.message();
    }
    m_acceptor = std::move(acceptor);
    return ok();
}

std::uint16_t PeerNetwork::port() const
{
    return m_acceptor->local_endpoint().port();
}

bool PeerNetwork::isZonePeer(const EntryId &peer) const
{
    return std::any_of(m_options.peers.begin(), m_options.peers.end(), [&](const ZonePeer &other) {
        return other.id == peer && other.zone == m_options.zone && peer != m_options.self;
    });
}

void PeerNetwork::start(Supervisor &supervisor)
{
    // A peer may be unreachable for any length of time, so the tasks that connect to peers are always restarted.
    const RestartPolicy policy{.restart = Restart::Always, .maxRestarts = 1000};
    supervisor.start(
        "peer_accept", [this, &supervisor] { return accept(supervisor); }, policy);
    for (const auto &peer : m_options.peers) {
        if (isZonePeer(peer.id) && m_options.self < peer.id) {
            supervisor.start(
                "peer_" + peer.id.value(), [this, peer] { return maintainLink(peer); }, policy);
        }
    }
}

asio::awaitable<void> PeerNetwork::accept(Supervisor &supervisor)
{
    std::uint64_t accepted = 0;
    while (true) {
        auto socket = co_await m_acceptor->async_accept(asio::use_awaitable);
        auto connection = std::make_shared<std::unique_ptr<FramedConnection>>(
            std::make_unique<FramedConnection>(std::move(socket)));
        supervisor.startTemporary("peer_in_" + std::to_string(++accepted),
                                  [this, connection] { return serveIncoming(std::move(*connection)); });
    }
}

asio::awaitable<Result<std::pair<HelloMessage, std::unique_ptr<FramedConnection>>, std::string>>
PeerNetwork::connectWithHello(Endpoint endpoint)
{
    auto connected = co_await FramedConnection::connect(std::move(endpoint), ConnectTimeout);
    if (connected.has_error()) {
        co_return connected.error().detail;
    }
    auto connection = std::move(connected).value();
    auto hello = toMessage(m_hooks.hello());
    const auto written = co_await connection->write(std::move(hello), HelloTimeout);
    if (written.has_error()) {
        co_return written.error().detail;
    }
    const auto reply = co_await connection->read(HelloTimeout);
    if (reply.has_error()) {
        co_return reply.error().detail;
    }
    auto typed = fromMessage<HelloMessage>(reply.value());
    if (typed.has_error()) {
        co_return typed.error().detail;
    }
    co_return std::make_pair(std::move(typed).value(), std::move(connection));
}

asio::awaitable<void> PeerNetwork::maintainLink(ZonePeer peer)
{
    Timer timer(co_await asio::this_coro::executor);
    auto reconnectDelay = MinReconnectDelay;
    while (true) {
        auto handshake = co_await connectWithHello(peer.peer);
        if (handshake.has_value()) {
            auto [hello, connection] = std::move(handshake).value();
            if (hello.entry == peer.id.value() && hello.zone == m_options.zone.value()) {
                reconnectDelay = MinReconnectDelay;
                co_await runZoneLink(peer.id, std::move(connection));
            } else {
                LogLine(LogLevel::Warning, "peer_refused")
                    .add("peer", peer.id.value())
                    .add("reason",
                         "the peer identifies itself as " + hello.entry + " of zone " + hello.zone
                             + "; check key [peers]");
            }
        }
        timer.expires_after(reconnectDelay);
        reconnectDelay = std::min(reconnectDelay * 2, MaxReconnectDelay);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> PeerNetwork::serveIncoming(std::unique_ptr<FramedConnection> connection)
{
    const auto first = co_await connection->read(HelloTimeout);
    if (first.has_error()) {
        LogLine(LogLevel::Warning, "peer_refused")
            .add("address", connection->peerName())
            .add("reason", first.error().detail);
        co_return;
    }
    const auto hello = fromMessage<HelloMessage>(first.value());
    if (hello.has_error()) {
        LogLine(LogLevel::Warning, "peer_refused")
            .add("address", connection->peerName())
            .add("reason", hello.error().detail);
        co_return;
    }
    auto reply = toMessage(m_hooks.hello());
    const auto written = co_await connection->write(std::move(reply), HelloTimeout);
    if (written.has_error()) {
        co_return;
    }
    const EntryId peer(hello.value().entry);
    if (hello.value().zone != m_options.zone.value()) {
        co_await runRemoteZoneLink(peer, std::move(connection));
    } else if (isZonePeer(peer)) {
        co_await runZoneLink(peer, std::move(connection));
    } else {
        LogLine(LogLevel::Warning, "peer_refused")
            .add("peer", peer.value())
            .add("reason", "the entry is not listed in key [peers]");
    }
}

PeerLink::Options PeerNetwork::linkOptions() const
{
    return PeerLink::Options{.receiveTimeout = m_options.linkReceiveTimeout};
}

asio::awaitable<void> PeerNetwork::runZoneLink(EntryId peer, std::unique_ptr<FramedConnection> connection)
{
    const auto old = m_links.find(peer);
    if (old != m_links.end()) {
        old->second->close();
    }
    PeerLink *self = nullptr;
    PeerLink::Hooks hooks;
    hooks.onMessage = [this, &self](const Message &message) {
        m_hooks.onMessage(*self, message);
    };
    hooks.makeHeartbeat = [this, &self] {
        return m_hooks.makeHeartbeat(*self);
    };
    hooks.heartbeatDelay = [this, &self] {
        return m_hooks.heartbeatDelay(*self);
    };
    PeerLink link(co_await asio::this_coro::executor, peer, std::move(connection), linkOptions(), std::move(hooks));
    self = &link;
    m_links[peer] = &link;
    LogLine(LogLevel::Info, "peer_connected").add("peer", peer.value());
    std::string reason = "stopped";
    const auto unregisterLink = [&] {
        addTraffic(link);
        const auto current = m_links.find(peer);
        if (current != m_links.end() && current->second == &link) {
            m_links.erase(current);
        }
        LogLine(LogLevel::Info, "peer_disconnected").add("peer", peer.value()).add("reason", reason);
    };
    try {
        m_hooks.onLinkUp(link);
        reason = co_await link.run();
    } catch (...) {
        unregisterLink();
        throw;
    }
    unregisterLink();
}

asio::awaitable<void> PeerNetwork::runRemoteZoneLink(EntryId peer, std::unique_ptr<FramedConnection> connection)
{
    PeerLink::Hooks hooks;
    hooks.onMessage = [](const Message &) {
    };
    hooks.makeHeartbeat = [] {
        return toMessage(HeartbeatMessage());
    };
    hooks.heartbeatDelay = [this] {
        return m_options.heartbeatInterval;
    };
    PeerLink link(co_await asio::this_coro::executor, peer, std::move(connection), linkOptions(), std::move(hooks));
    m_remoteZoneLinks.push_back(&link);
    const auto unregisterLink = [&] {
        addTraffic(link);
        std::erase(m_remoteZoneLinks, &link);
        m_hooks.onRemoteZoneLinkDown(link);
    };
    try {
        m_hooks.onRemoteZoneLinkUp(link);
        (void)co_await link.run();
    } catch (...) {
        unregisterLink();
        throw;
    }
    unregisterLink();
}

bool PeerNetwork::send(const EntryId &peer, Message message)
{
    auto *to = link(peer);
    if (to == nullptr) {
        return false;
    }
    to->send(std::move(message));
    return true;
}

void PeerNetwork::broadcast(const Message &message)
{
    for (const auto &[peer, to] : m_links) {
        to->send(message);
    }
}

PeerLink *PeerNetwork::link(const EntryId &peer) const
{
    const auto found = m_links.find(peer);
    return found == m_links.end() ? nullptr : found->second;
}

std::vector<PeerLink *> PeerNetwork::links() const
{
    std::vector<PeerLink *> all;
    all.reserve(m_links.size());
    for (const auto &[peer, other] : m_links) {
        all.push_back(other);
    }
    return all;
}

void PeerNetwork::addTraffic(const PeerLink &link)
{
    m_closedLinkTraffic.bytesRead += link.bytesRead();
    m_closedLinkTraffic.bytesWritten += link.bytesWritten();
    m_closedLinkTraffic.messagesRead += link.messagesRead();
    m_closedLinkTraffic.messagesWritten += link.messagesWritten();
}

PeerTraffic PeerNetwork::traffic() const
{
    auto all = m_closedLinkTraffic;
    const auto add = [&all](const PeerLink &link) {
        all.bytesRead += link.bytesRead();
        all.bytesWritten += link.bytesWritten();
        all.messagesRead += link.messagesRead();
        all.messagesWritten += link.messagesWritten();
    };
    for (const auto &[peer, other] : m_links) {
        add(*other);
    }
    for (const auto *other : m_remoteZoneLinks) {
        add(*other);
    }
    return all;
}

} // namespace tamarackcove
