#include "tamarackcove/Entry/Control/CallChannel.h"

#include "tamarackcove/Entry/Control/ControlHosts.h"
#include "tamarackcove/Wire/Codec.h"
#include "tamarackcove/Wire/ControlMessages.h"
#include "tamarackcove/Wire/FramedConnection.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr std::size_t MaxIdle = 16;
// Control hosts close a connection that was silent for a minute; one that may be closed already costs a try.
static constexpr milliseconds MaxIdleTime = seconds(20);
static constexpr milliseconds RetryPause{50};

CallChannel::CallChannel(const ControlOptions &options, ControlHosts &hosts)
    : m_options(options)
    , m_hosts(hosts)
{
}

CallChannel::~CallChannel() = default;

std::unique_ptr<FramedConnection> CallChannel::takeIdle(std::size_t host)
{
    const auto now = Clock::now();
    std::erase_if(m_idle, [now](const Idle &idle) { return now - idle.since > MaxIdleTime; });
    const auto found
        = std::find_if(m_idle.rbegin(), m_idle.rend(), [host](const Idle &idle) { return idle.host == host; });
    if (found == m_idle.rend()) {
        return nullptr;
    }
    auto connection = std::move(found->connection);
    m_idle.erase(std::next(found).base());
    return connection;
}

void CallChannel::dropIdle(std::size_t host)
{
    std::erase_if(m_idle, [host](const Idle &idle) { return idle.host == host; });
}

static milliseconds timeLeft(TimePoint deadline, milliseconds atMost)
{
    return std::clamp(std::chrono::ceil<milliseconds>(deadline - Clock::now()), milliseconds(1), atMost);
}

asio::awaitable<CallChannel::Attempt> CallChannel::attempt(std::size_t host, const Message &message, TimePoint deadline)
{
    Attempt result;
    auto connection = takeIdle(host);
    if (!connection) {
        auto connected
            = co_await FramedConnection::connect(m_hosts.endpoint(host), timeLeft(deadline, m_options.connectTimeout));
        if (connected.has_error()) {
            result.answer = std::move(connected).error();
            co_return result;
        }
        connection = std::move(connected).value();
    }
    result.sent = true;
    auto copy = message;
    const auto written = co_await connection->write(std::move(copy), timeLeft(deadline, m_options.answerTimeout));
    if (written.has_error()) {
        result.answer = written.error();
    } else {
        result.answer = co_await connection->read(timeLeft(deadline, m_options.answerTimeout));
    }
    if (result.answer.has_error()) {
        // The other idle connections may be as dead or as silent as this one.
        dropIdle(host);
    } else if (m_idle.size() < MaxIdle) {
        Idle idle{.host = host, .since = Clock::now(), .connection = std::move(connection)};
        m_idle.push_back(std::move(idle));
    }
    co_return result;
}

asio::awaitable<Result<Message, ControlError>> CallChannel::call(Message message, milliseconds timeout)
{
    const auto deadline = Clock::now() + timeout;
    ControlError error{.code = ControlErrorCode::Unavailable, .detail = "no control host is configured"};
    asio::steady_timer pause(co_await asio::this_coro::executor);
    while (m_hosts.count() > 0 && Clock::now() < deadline) {
        const auto host = m_hosts.next();
        auto tried = co_await attempt(host, message, deadline);
        if (tried.answer.has_value() && tried.answer.value().type != RefusedMessage::Type) {
            co_return std::move(tried.answer).value();
        }
        if (tried.answer.has_error()) {
            error.detail = tried.answer.error().detail;
            error.code = tried.sent ? ControlErrorCode::OutcomeUnknown : error.code;
        } else {
            const auto refused = fromMessage<RefusedMessage>(tried.answer.value());
            error.detail = refused.has_value() ? refused.value().detail : refused.error().detail;
            if (refused.has_error() || refused.value().code == "refused") {
                error.code = ControlErrorCode::Refused;
                co_return error;
            }
            if (refused.value().code == "outcome_unknown") {
                error.code = ControlErrorCode::OutcomeUnknown;
            }
        }
        m_hosts.failed(host);
        pause.expires_after(RetryPause);
        co_await pause.async_wait(asio::use_awaitable);
    }
    co_return error;
}

} // namespace tamarackcove
