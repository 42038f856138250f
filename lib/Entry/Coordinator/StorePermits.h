#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Entry/ControlCalls.h"
#include "tamarackcove/Residency/StoreShare.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace tamarackcove {

/// Keeps the zone's store permit valid while this entry is the coordinator; when the control group cannot be reached
/// for long, the zone's partition quota takes its place.
///
/// Thread safety: used on one thread.
class StorePermits
{
public:
    /// Without ControlCalls::requestPermit there is no limit. `onPermit` is called after each change of the permit.
    StorePermits(const boost::asio::any_io_executor &executor, Zone zone, FencingNumber number,
                 const ControlCalls &control, std::function<void()> onPermit);

    /// Renews the permit until cancelled.
    boost::asio::awaitable<void> run();
    /// How many loads could be used now. Another number than at the last request makes the next one due soon, so that
    /// idle slots go to other zones.
    void setWanted(int loads);
    [[nodiscard]] StoreShare &share();

private:
    void take(const StorePermit &permit, TimePoint sentAt);

    Zone m_zone;
    FencingNumber m_number;
    decltype(ControlCalls::requestPermit) m_request;
    decltype(ControlCalls::partitionQuota) m_quota;
    StoreShare m_share;
    std::uint64_t m_received = 0;
    std::function<void()> m_onPermit;
    boost::asio::steady_timer m_wake;
    int m_wanted = 0;
    int m_requested = 0;
};

} // namespace tamarackcove
