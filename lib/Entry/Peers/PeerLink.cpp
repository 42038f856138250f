#include "tamarackcove/Entry/Peers/PeerLink.h"

#include "tamarackcove/Wire/FramedConnection.h"

#include <boost/asio/error.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/multiple_exceptions.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>
#include <utility>

namespace asio = boost::asio;

namespace tamarackcove {

// An echo extends the view lease only if the lease, counted from the sending of the echoed heartbeat, has not ended
// yet. Older send times are therefore not kept.
static constexpr std::size_t RememberedHeartbeats = 16;

PeerLink::PeerLink(const asio::any_io_executor &executor, EntryId peer, std::unique_ptr<FramedConnection> connection,
                   Options options, Hooks hooks)
    : m_peer(std::move(peer))
    , m_connection(std::move(connection))
    , m_options(options)
    , m_hooks(std::move(hooks))
    , m_wake(executor)
    , m_nextHeartbeatAt(Clock::now())
{
}

PeerLink::~PeerLink() = default;

asio::awaitable<std::string> PeerLink::run()
{
    using namespace asio::experimental::awaitable_operators;
    try {
        co_await (readLoop() || writeLoop());
    } catch (const asio::multiple_exceptions &) {
        // Both loops were cancelled: the task is being stopped, and the link has not failed.
        throw boost::system::system_error(asio::error::operation_aborted);
    }
    close();
    co_return m_closeReason;
}

asio::awaitable<void> PeerLink::readLoop()
{
    while (!m_closed) {
        const auto message = co_await m_connection->read(m_options.receiveTimeout);
        if (message.has_error()) {
            m_closeReason = message.error().detail;
            co_return;
        }
        ++m_messagesRead;
        m_hooks.onMessage(message.value());
    }
}

asio::awaitable<void> PeerLink::writeLoop()
{
    while (!m_closed) {
        if (m_queue.empty() && Clock::now() < m_nextHeartbeatAt) {
            m_wake.expires_at(m_nextHeartbeatAt);
            boost::system::error_code ignored;
            co_await m_wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        }
        Message message;
        if (m_queue.empty()) {
            m_nextHeartbeatAt = Clock::now() + m_hooks.heartbeatDelay();
            message = m_hooks.makeHeartbeat();
        } else {
            message = std::move(m_queue.front());
            m_queue.pop_front();
        }
        const auto written = co_await m_connection->write(std::move(message), m_options.writeTimeout);
        if (written.has_error()) {
            m_closeReason = written.error().detail;
            co_return;
        }
        ++m_messagesWritten;
    }
}

void PeerLink::send(Message message)
{
    if (m_closed) {
        return;
    }
    if (m_queue.size() >= m_options.maxQueued) {
        m_closeReason = "the queue of outgoing messages is full";
        close();
        return;
    }
    m_queue.push_back(std::move(message));
    m_wake.cancel();
}

void PeerLink::sendHeartbeatNow()
{
    m_nextHeartbeatAt = TimePoint::min();
    m_wake.cancel();
}

void PeerLink::close()
{
    m_closed = true;
    m_connection->close();
    m_wake.cancel();
}

const EntryId &PeerLink::peer() const
{
    return m_peer;
}

std::uint64_t PeerLink::bytesRead() const
{
    return m_connection->bytesRead();
}

std::uint64_t PeerLink::bytesWritten() const
{
    return m_connection->bytesWritten();
}

std::uint64_t PeerLink::messagesRead() const
{
    return m_messagesRead;
}

std::uint64_t PeerLink::messagesWritten() const
{
    return m_messagesWritten;
}

std::uint64_t PeerLink::recordHeartbeatSent(TimePoint now)
{
    m_heartbeatSendTimes.emplace(++m_lastHeartbeatNumber, now);
    if (m_heartbeatSendTimes.size() > RememberedHeartbeats) {
        m_heartbeatSendTimes.erase(m_heartbeatSendTimes.begin());
    }
    return m_lastHeartbeatNumber;
}

std::optional<TimePoint> PeerLink::heartbeatSentAt(std::uint64_t heartbeat) const
{
    const auto found = m_heartbeatSendTimes.find(heartbeat);
    if (found == m_heartbeatSendTimes.end()) {
        return std::nullopt;
    }
    return found->second;
}

} // namespace tamarackcove
