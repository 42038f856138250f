#include "StorePermits.h"

#include "../Peers/TaskWaits.h"
#include "tamarackcove/Observe/LogLine.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr milliseconds RenewInterval{1000};
static constexpr milliseconds RetryInterval{500};
static constexpr milliseconds MinInterval{100};
// A load takes about 250 ms.
static constexpr int LoadsPerSlotAndSecond = 4;
// Stands for no limit; far above what engines can load.
static constexpr double UnlimitedRate = 10000;
static constexpr int UnlimitedLoads = 10000;

StorePermits::StorePermits(const asio::any_io_executor &executor, Zone zone, FencingNumber number, Request request,
                           std::function<void()> onPermit)
    : m_zone(std::move(zone))
    , m_number(number)
    , m_request(std::move(request))
    , m_onPermit(std::move(onPermit))
    , m_wake(executor)
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
        wanted.loadsPerSecond = wanted.concurrentLoads * LoadsPerSlotAndSecond;
        m_requested = wanted.concurrentLoads;
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
        m_onPermit();
        // Keeps a burst of new demand from asking again for each request of it.
        co_await pause(MinInterval);
        if (m_wanted <= m_requested) {
            m_wake.expires_after(next - MinInterval);
            boost::system::error_code ignored;
            co_await m_wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }
}

void StorePermits::setWanted(int loads)
{
    m_wanted = loads;
    if (m_wanted > m_requested) {
        m_wake.cancel();
    }
}

PermitGate &StorePermits::gate()
{
    return m_gate;
}

} // namespace tamarackcove
