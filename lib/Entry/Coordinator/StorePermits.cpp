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
static constexpr std::chrono::hours UnlimitedValidity{24 * 365 * 100};

StorePermits::StorePermits(const asio::any_io_executor &executor, Zone zone, FencingNumber number,
                           const ControlCalls &control, std::function<void()> onPermit)
    : m_zone(std::move(zone))
    , m_number(number)
    , m_request(control.requestPermit)
    , m_quota(control.partitionQuota)
    , m_share(PermitTiming{}, Clock::now())
    , m_onPermit(std::move(onPermit))
    , m_wake(executor)
{
    if (!m_request) {
        StorePermit unlimited;
        unlimited.loadsPerSecond = UnlimitedRate;
        unlimited.concurrentLoads = UnlimitedLoads;
        unlimited.validFor = UnlimitedValidity;
        take(unlimited, Clock::now());
    }
}

void StorePermits::take(const StorePermit &permit, TimePoint sentAt)
{
    // The link to the control group drops answers that are older than one it has passed on.
    ++m_received;
    m_share.received(
        {.rights = {.loadsPerSecond = permit.loadsPerSecond, .concurrentLoads = permit.concurrentLoads},
         .validFor = permit.validFor,
         .stamp = {.term = 0, .number = m_received},
         .quota = {.loadsPerSecond = permit.quotaLoadsPerSecond, .concurrentLoads = permit.quotaConcurrentLoads}},
        sentAt, Clock::now());
}

asio::awaitable<void> StorePermits::run()
{
    bool granted = true;
    while (m_request) {
        const auto sentAt = Clock::now();
        StorePermit wanted;
        wanted.concurrentLoads = m_wanted;
        wanted.loadsPerSecond = wanted.concurrentLoads * LoadsPerSlotAndSecond;
        wanted.inFlight = m_share.inFlight();
        m_share.relinquish({.loadsPerSecond = wanted.loadsPerSecond, .concurrentLoads = wanted.concurrentLoads},
                           sentAt);
        m_requested = wanted.concurrentLoads;
        const auto permit = co_await m_request(m_zone, m_number, wanted);
        auto next = RetryInterval;
        if (permit.has_value()) {
            take(permit.value(), sentAt);
            next = std::clamp(permit.value().validFor / 3, RetryInterval, RenewInterval);
        } else if (m_quota) {
            // A coordinator that never got an answer knows the quota only from the configuration stream.
            const auto quota = m_quota();
            m_share.setQuota(
                {.loadsPerSecond = quota.quotaLoadsPerSecond, .concurrentLoads = quota.quotaConcurrentLoads},
                Clock::now());
        }
        if (permit.has_value() != granted) {
            granted = permit.has_value();
            LogLine(LogLevel::Info, granted ? "store_permit_granted" : "store_permit_missing")
                .add("reason", granted ? "renewed" : permit.error().detail);
        }
        m_onPermit();
        // Keeps a burst of new demand from asking again for each request of it.
        co_await pause(MinInterval);
        if (m_wanted == m_requested) {
            m_wake.expires_after(next - MinInterval);
            boost::system::error_code ignored;
            co_await m_wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }
}

void StorePermits::setWanted(int loads)
{
    m_wanted = loads;
    if (m_wanted != m_requested) {
        m_wake.cancel();
    }
}

StoreShare &StorePermits::share()
{
    return m_share;
}

} // namespace tamarackcove
