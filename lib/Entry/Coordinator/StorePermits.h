#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Entry/ControlCalls.h"
#include "tamarackcove/Residency/PermitGate.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace tamarackcove {

/// Keeps the zone's store permit valid while this entry is the coordinator.
///
/// Thread safety: used on one thread.
class StorePermits
{
public:
    using Request = decltype(ControlCalls::requestPermit);

    /// Without a request function there is no limit. `onPermit` is called after each change of the permit.
    StorePermits(const boost::asio::any_io_executor &executor, Zone zone, FencingNumber number, Request request,
                 std::function<void()> onPermit);

    /// Renews the permit until cancelled.
    boost::asio::awaitable<void> run();
    /// How many loads could be used now. More than at the last request makes the next one due soon.
    void setWanted(int loads);
    [[nodiscard]] PermitGate &gate();

private:
    Zone m_zone;
    FencingNumber m_number;
    Request m_request;
    PermitGate m_gate;
    std::function<void()> m_onPermit;
    boost::asio::steady_timer m_wake;
    int m_wanted = 1;
    int m_requested = 1;
};

} // namespace tamarackcove
