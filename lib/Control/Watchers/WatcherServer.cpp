#include "tamarackcove/Control/Watchers/WatcherServer.h"

#include "tamarackcove/Control/State/ReplicatedState.h"
#include "tamarackcove/Control/Watchers/EntryRegistry.h"
#include "tamarackcove/Control/Watchers/LeaderState.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Observe/Metrics.h"
#include "tamarackcove/Supervision/Listening.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Supervision/Timer.h"
#include "tamarackcove/Wire/ControlMessages.h"
#include "tamarackcove/Wire/DeltaCodec.h"
#include "tamarackcove/Wire/FramedConnection.h"

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;
using asio::ip::tcp;

namespace tamarackcove {

// Must be longer than an entry keeps using an idle connection: an entry sends the next watch within its watch wait, and
// drops a connection for calls after an idle time that is shorter than ReadTimeout.
static constexpr milliseconds ReadTimeout = seconds(60);
static constexpr milliseconds WriteTimeout = seconds(5);
static constexpr milliseconds MaxWatchWait = seconds(30);
// Smaller than the longest frame, because splitDelta() does not count the bytes of services, fingerprints and the
// envelope.
static constexpr std::size_t MaxPartBytes = 512 * 1024;

WatcherServer::WatcherServer(Supervisor &connections, ControlParts parts)
    : m_connections(connections)
    , m_parts(parts)
    , m_calls(parts)
    , m_acceptor(connections.executor())
{
}

Result<void, WireError> WatcherServer::listen(const Endpoint &endpoint)
{
    const auto error = listenOn(m_acceptor, endpoint);
    if (error) {
        return WireError{WireErrorCode::ConnectFailed,
                         "cannot listen on " + endpoint.toString() + ": " + error.message()};
    }
    m_port = m_acceptor.local_endpoint().port();
    return ok();
}

std::uint16_t WatcherServer::port() const
{
    return m_port;
}

asio::awaitable<bool> WatcherServer::waitForCalls(TimePoint deadline)
{
    constexpr milliseconds PollInterval{10};
    Timer timer(m_connections.executor());
    while (m_callsInProgress > 0 && Clock::now() < deadline) {
        timer.expires_after(PollInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_return m_callsInProgress == 0;
}

void WatcherServer::beginDrain()
{
    m_draining = true;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

asio::awaitable<void> WatcherServer::run()
{
    return acceptConnections(m_acceptor, [this](tcp::socket socket) {
        auto connection = std::make_shared<FramedConnection>(std::move(socket));
        m_connections.startTemporary("entry-" + std::to_string(++m_accepted),
                                     [this, connection]() -> asio::awaitable<void> { co_await serve(*connection); });
    });
}

asio::awaitable<void> WatcherServer::serve(FramedConnection &connection)
{
    while (!m_draining) {
        auto message = co_await connection.read(ReadTimeout);
        if (message.has_error()) {
            if (message.error().code != WireErrorCode::Closed && message.error().code != WireErrorCode::TimedOut) {
                LogLine(LogLevel::Warning, "entry_connection_refused")
                    .add("peer", connection.peerName())
                    .add("reason", message.error().detail);
            }
            co_return;
        }
        if (message.value().type == WatchMessage::Type) {
            auto watch = fromMessage<WatchMessage>(message.value());
            if (watch.has_error() || !co_await answerWatch(connection, std::move(watch).value())) {
                co_return;
            }
            continue;
        }
        struct InProgress
        {
            std::size_t &count;
            ~InProgress()
            {
                --count;
            }
        };
        ++m_callsInProgress;
        const InProgress call{m_callsInProgress};
        auto reply = co_await m_calls.answer(std::move(message).value());
        const auto written = co_await connection.write(std::move(reply), WriteTimeout);
        if (written.has_error()) {
            co_return;
        }
    }
}

asio::awaitable<bool> WatcherServer::answerWatch(FramedConnection &connection, WatchMessage watch)
{
    const Revision heldRevision(watch.revision);
    m_parts.entries.recordWatch(EntryId(watch.entry), Zone(watch.zone), heldRevision, Revision(watch.inForce),
                                Clock::now());
    co_await m_parts.state.waitForNewer(heldRevision, std::min(watch.wait, MaxWatchWait));
    ConfigMessage reply;
    const auto status = m_parts.log.status();
    reply.leads = status.role == "leader";
    reply.term = status.term;
    const auto quota = m_parts.leaderState.budget().quotaOf(Zone(watch.zone));
    reply.quotaLoadsPerSecond = quota.loadsPerSecond;
    reply.quotaConcurrentLoads = quota.concurrentLoads;
    const auto &state = m_parts.state.state();
    // A replica without a newer revision than the entry replies without a delta. This replica may lag behind the entry,
    // and an entry never returns to an older revision.
    if (state.servingConfiguration().revision <= heldRevision) {
        co_return !(co_await connection.write(toMessage(reply), WriteTimeout)).has_error();
    }
    const auto parts = splitDelta(state.changesSince(heldRevision), MaxPartBytes);
    for (std::size_t i = 0; i < parts.size(); ++i) {
        reply.last = i + 1 == parts.size();
        reply.delta = encodeDelta(parts[i]);
        const auto before = connection.bytesWritten();
        const auto written = co_await connection.write(toMessage(reply), WriteTimeout);
        if (written.has_error()) {
            co_return false;
        }
        m_parts.metrics.count("watch_bytes_total", connection.bytesWritten() - before);
    }
    m_parts.metrics.count("watch_changes_total");
    co_return true;
}

} // namespace tamarackcove
