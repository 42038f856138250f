#include "tamarackcove/Entry/Control/CallChannel.h"

#include "tamarackcove/Entry/Control/ControlHosts.h"
#include "tamarackcove/Supervision/Timer.h"
#include "tamarackcove/Wire/Codec.h"
#include "tamarackcove/Wire/ControlMessages.h"
#include "tamarackcove/Wire/FramedConnection.h"

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr std::size_t MaxIdleConnections = 16;
// Control hosts close a connection after a minute of silence; a call on a closed connection costs an attempt.
static constexpr milliseconds MaxIdleTime = seconds(20);
static constexpr milliseconds RetryPause{50};

CallChannel::CallChannel(const ControlOptions &options, ControlHosts &hosts)
    : m_options(options)
    , m_hosts(hosts)
{
}

CallChannel::~CallChannel() = default;

std::unique_ptr<FramedConnection> CallChannel::takeIdleConnection(std::size_t host)
{
    const auto now = Clock::now();
    std::erase_if(m_idleConnections, [now](const IdleConnection &idle) { return now - idle.idleSince > MaxIdleTime; });
    const auto found = std::find_if(m_idleConnections.rbegin(), m_idleConnections.rend(),
                                    [host](const IdleConnection &idle) { return idle.host == host; });
    if (found == m_idleConnections.rend()) {
        return nullptr;
    }
    auto connection = std::move(found->connection);
    m_idleConnections.erase(std::next(found).base());
    return connection;
}

void CallChannel::dropIdleConnections(std::size_t host)
{
    std::erase_if(m_idleConnections, [host](const IdleConnection &idle) { return idle.host == host; });
}

static milliseconds timeLeft(TimePoint deadline, milliseconds atMost)
{
    return std::clamp(std::chrono::ceil<milliseconds>(deadline - Clock::now()), milliseconds(1), atMost);
}

asio::awaitable<CallChannel::Attempt> CallChannel::attempt(std::size_t host, const Message &message, TimePoint deadline)
{
    Attempt result;
    auto connection = takeIdleConnection(host);
    if (!connection) {
        auto connected
            = co_await FramedConnection::connect(m_hosts.endpoint(host), timeLeft(deadline, m_options.connectTimeout));
        if (connected.has_error()) {
            result.answer = std::move(connected).error();
            co_return result;
        }
        connection = std::move(connected).value();
    }
    result.mayHaveBeenReceived = true;
    auto copy = message;
    const auto written = co_await connection->write(std::move(copy), timeLeft(deadline, m_options.answerTimeout));
    if (written.has_error()) {
        result.answer = written.error();
    } else {
        result.answer = co_await connection->read(timeLeft(deadline, m_options.answerTimeout));
    }
    if (result.answer.has_error()) {
        // The host may be down or not answering, in which case calls on its other idle connections would fail as well.
        dropIdleConnections(host);
    } else if (m_idleConnections.size() < MaxIdleConnections) {
        IdleConnection idle{.host = host, .idleSince = Clock::now(), .connection = std::move(connection)};
        m_idleConnections.push_back(std::move(idle));
    }
    co_return result;
}

asio::awaitable<Result<Message, ControlError>> CallChannel::call(Message message, milliseconds timeout)
{
    const auto deadline = Clock::now() + timeout;
    ControlError error{.code = ControlErrorCode::Unavailable, .detail = "no control host is configured"};
    Timer pause(co_await asio::this_coro::executor);
    while (m_hosts.count() > 0 && Clock::now() < deadline) {
        const auto host = m_hosts.selectNext();
        auto attempted = co_await attempt(host, message, deadline);
        if (attempted.answer.has_value() && attempted.answer.value().type != RefusedMessage::Type) {
            co_return std::move(attempted.answer).value();
        }
        if (attempted.answer.has_error()) {
            error.detail = attempted.answer.error().detail;
            error.code = attempted.mayHaveBeenReceived ? ControlErrorCode::OutcomeUnknown : error.code;
        } else {
            const auto refused = fromMessage<RefusedMessage>(attempted.answer.value());
            error.detail = refused.has_value() ? refused.value().detail : refused.error().detail;
            if (refused.has_error() || refused.value().code == "refused") {
                error.code = ControlErrorCode::Refused;
                co_return error;
            }
            if (refused.value().code == "outcome_unknown") {
                error.code = ControlErrorCode::OutcomeUnknown;
            }
        }
        m_hosts.recordFailure(host);
        pause.expires_after(RetryPause);
        co_await pause.async_wait(asio::use_awaitable);
    }
    co_return error;
}

} // namespace tamarackcove
