#pragma once

#include "tamarackcove/Gateway/GatewaySettings.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>

namespace tamarackcove {

class FleetView;
class FramedConnection;

/// Keeps an entry connected with the control host that leads: takes its updates and sends it reports.
///
/// Thread safety: used on the thread of the executor.
class FleetLink
{
public:
    /// Precondition: the view outlives this object.
    FleetLink(boost::asio::any_io_executor executor, const GatewaySettings &settings, FleetView &view);

    /// Connects again and again until cancelled.
    boost::asio::awaitable<void> run();
    /// Sends a report as soon as possible.
    void reportSoon();
    [[nodiscard]] bool connected() const;

private:
    boost::asio::awaitable<bool> attend(const std::string &host);
    boost::asio::awaitable<void> readUpdates(FramedConnection &connection);
    boost::asio::awaitable<void> writeReports(FramedConnection &connection);

    boost::asio::any_io_executor m_executor;
    const GatewaySettings &m_settings;
    FleetView &m_view;
    boost::asio::steady_timer m_wake;
    std::string m_leader;
    bool m_connected = false;
    bool m_urgent = false;
};

} // namespace tamarackcove
