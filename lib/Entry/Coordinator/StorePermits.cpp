#include "StorePermits.h"

#include "../Peers/TaskWaits.h"
#include "tamarackcove/Observe/LogLine.h"

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr milliseconds RenewInterval{1000};
static constexpr milliseconds RetryInterval{500};
// Stands for no limit; far above what engines can load.
static constexpr double UnlimitedRate = 10000;
static constexpr int UnlimitedLoads = 10000;

StorePermits::StorePermits(Zone zone, FencingNumber number, Request request)
    : m_zone(std::move(zone))
    , m_number(number)
    , m_request(std::move(request))
{
    if (!m_request) {
        m_gate.setPermit(UnlimitedRate, UnlimitedLoads, TimePoint::max(), Clock::now());
    }
}

asio::awaitable<void> StorePermits::run()
{
    bool granted = true;
    while (m_request) {
        const auto sentAt = Clock::now();
        StorePermit wanted;
        wanted.concurrentLoads = std::max(1, m_wanted);
        wanted.loadsPerSecond = wanted.concurrentLoads;
        const auto permit = co_await m_request(m_zone, m_number, wanted);
        auto next = RetryInterval;
        if (permit.has_value()) {
            const auto &value = permit.value();
            m_gate.setPermit(value.loadsPerSecond, value.concurrentLoads, sentAt + value.validFor, Clock::now());
            next = std::clamp(value.validFor / 3, RetryInterval, RenewInterval);
        }
        if (permit.has_value() != granted) {
            granted = permit.has_value();
            LogLine(LogLevel::Info, granted ? "store_permit_granted" : "store_permit_missing")
                .add("reason", granted ? "renewed" : permit.error().detail);
        }
        co_await pause(next);
    }
}

void StorePermits::setWanted(int loads)
{
    m_wanted = loads;
}

PermitGate &StorePermits::gate()
{
    return m_gate;
}

} // namespace tamarackcove
