#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Entry/ControlCalls.h"
#include "tamarackcove/Residency/ZoneLoadLimiter.h"
#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>

namespace tamarackcove {

/// Renews the zone's store permit while this entry is the coordinator. After a long time without an answer from the
/// control group, the zone's partition quota replaces the permit.
///
/// Thread safety: used on one thread.
class StorePermitRenewer
{
public:
    /// Without ControlCalls::requestPermit there is no limit. `onRequestEnded` is called after each request, whether
    /// the permit was granted or not.
    StorePermitRenewer(const boost::asio::any_io_executor &executor, Zone zone, FencingNumber number,
                       const ControlCalls &control, std::function<void()> onRequestEnded);

    /// Renews the permit until cancelled.
    boost::asio::awaitable<void> run();
    /// Sets the number of adapter loads that the zone could execute concurrently now. If the number differs from that
    /// of the last request, the next request is sent soon, so that idle load slots go to other zones.
    void setWanted(int loads);
    [[nodiscard]] ZoneLoadLimiter &loadLimiter();

private:
    void applyPermit(const StorePermit &permit, TimePoint sentAt);

    Zone m_zone;
    FencingNumber m_number;
    decltype(ControlCalls::requestPermit) m_requestPermit;
    decltype(ControlCalls::partitionQuota) m_quota;
    ZoneLoadLimiter m_loadLimiter;
    std::uint64_t m_permitsReceived = 0;
    std::function<void()> m_onRequestEnded;
    Timer m_wake;
    int m_wantedLoads = 0;
    int m_requestedLoads = 0;
};

} // namespace tamarackcove
