#include "tamarackcove/Gateway/FleetLink.h"

#include "tamarackcove/Gateway/FleetView.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Wire/Codec.h"
#include "tamarackcove/Wire/FleetMessages.h"
#include "tamarackcove/Wire/FramedConnection.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr milliseconds ConnectTimeout{300};
/// The control host that leads sends something five times a second.
static constexpr milliseconds UpdateTimeout{1200};
static constexpr milliseconds WriteTimeout{1000};
static constexpr milliseconds ReportInterval{200};
static constexpr milliseconds RetryPause{50};
/// Waits for adapters are reported together when they begin within this time.
static constexpr milliseconds DemandDelay{1};

FleetLink::FleetLink(asio::any_io_executor executor, const GatewaySettings &settings, FleetView &view)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_view(view)
    , m_wake(m_executor)
{
}

asio::awaitable<void> FleetLink::run()
{
    std::size_t next = 0;
    for (;;) {
        const bool named = !m_leader.empty();
        const auto host = named ? m_leader : m_settings.seeds[next++ % m_settings.seeds.size()];
        m_leader.clear();
        const bool attended = co_await attend(host);
        if (attended || named || m_leader.empty()) {
            asio::steady_timer pause(m_executor, RetryPause);
            co_await pause.async_wait(asio::use_awaitable);
        }
    }
}

asio::awaitable<bool> FleetLink::attend(const std::string &host)
{
    using namespace asio::experimental::awaitable_operators;
    Endpoint endpoint{.host = host, .port = m_settings.controlPort};
    auto connected = co_await FramedConnection::connect(std::move(endpoint), ConnectTimeout);
    if (connected.has_error()) {
        co_return false;
    }
    auto &connection = *connected.value();
    auto first = toMessage(m_view.takeReport());
    const auto sent = co_await connection.write(std::move(first), WriteTimeout);
    if (sent.has_error()) {
        co_return false;
    }
    const auto answer = co_await connection.read(UpdateTimeout);
    if (answer.has_error()) {
        co_return false;
    }
    const auto update = fromMessage<FleetUpdateMessage>(answer.value());
    if (update.has_error() || !update.value().leads) {
        if (update.has_value()) {
            m_leader = update.value().leader;
        }
        co_return false;
    }
    LogLine(LogLevel::Info, "control_connected").add("host", host);
    m_connected = true;
    m_view.apply(update.value(), Clock::now());
    co_await (readUpdates(connection) || writeReports(connection));
    m_connected = false;
    LogLine(LogLevel::Warning, "control_lost").add("host", host).add("next", m_leader);
    co_return true;
}

asio::awaitable<void> FleetLink::readUpdates(FramedConnection &connection)
{
    for (;;) {
        const auto message = co_await connection.read(UpdateTimeout);
        if (message.has_error()) {
            co_return;
        }
        const auto update = fromMessage<FleetUpdateMessage>(message.value());
        if (update.has_error()) {
            LogLine(LogLevel::Warning, "update_refused").add("reason", update.error().detail);
            co_return;
        }
        if (!update.value().leads) {
            m_leader = update.value().leader;
            co_return;
        }
        m_view.apply(update.value(), Clock::now());
    }
}

asio::awaitable<void> FleetLink::writeReports(FramedConnection &connection)
{
    for (;;) {
        m_wake.expires_after(m_urgent ? DemandDelay : ReportInterval);
        boost::system::error_code ignored;
        co_await m_wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        m_urgent = false;
        auto message = toMessage(m_view.takeReport());
        const auto written = co_await connection.write(std::move(message), WriteTimeout);
        if (written.has_error()) {
            co_return;
        }
    }
}

void FleetLink::reportSoon()
{
    m_urgent = true;
    m_wake.cancel();
}

bool FleetLink::connected() const
{
    return m_connected;
}

} // namespace tamarackcove
