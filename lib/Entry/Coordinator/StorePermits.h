#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Entry/ControlCalls.h"
#include "tamarackcove/Residency/PermitGate.h"

#include <boost/asio/awaitable.hpp>

namespace tamarackcove {

/// Keeps the zone's store permit valid while this entry is the coordinator.
///
/// Thread safety: used on one thread.
class StorePermits
{
public:
    using Request = decltype(ControlCalls::requestPermit);

    /// Without a request function there is no limit.
    StorePermits(Zone zone, FencingNumber number, Request request);

    /// Renews the permit until cancelled.
    boost::asio::awaitable<void> run();
    /// How many loads could be used now, for the next request.
    void setWanted(int loads);
    [[nodiscard]] PermitGate &gate();

private:
    Zone m_zone;
    FencingNumber m_number;
    Request m_request;
    PermitGate m_gate;
    int m_wanted = 1;
};

} // namespace tamarackcove
