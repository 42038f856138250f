#include "StorePermitRenewer.h"

#include "../Peers/TaskWaits.h"
#include "tamarackcove/Observe/LogLine.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr milliseconds MaxRenewInterval{1000};
static constexpr milliseconds RetryInterval{500};
static constexpr milliseconds MinRequestInterval{100};
// An adapter load takes about 250 ms, so each slot for a concurrent load can execute this many loads per second.
static constexpr int LoadsPerSlotPerSecond = 4;
// Stands for no limit: far more adapter loads per second than the engines of a zone can execute.
static constexpr double UnlimitedRate = 10000;
static constexpr int UnlimitedLoads = 10000;
static constexpr std::chrono::hours UnlimitedValidity{24 * 365 * 100};

StorePermitRenewer::StorePermitRenewer(const asio::any_io_executor &executor, Zone zone, FencingNumber number,
                                       const ControlCalls &control, std::function<void()> onRequestEnded)
    : m_zone(std::move(zone))
    , m_number(number)
    , m_requestPermit(control.requestPermit)
    , m_quota(control.partitionQuota)
    , m_loadLimiter(PermitTiming{}, Clock::now())
    , m_onRequestEnded(std::move(onRequestEnded))
    , m_wake(executor)
{
    if (!m_requestPermit) {
        StorePermit unlimited;
        unlimited.loadsPerSecond = UnlimitedRate;
        unlimited.concurrentLoads = UnlimitedLoads;
        unlimited.validFor = UnlimitedValidity;
        applyPermit(unlimited, Clock::now());
    }
}

void StorePermitRenewer::applyPermit(const StorePermit &permit, TimePoint sentAt)
{
    // Answers are numbered as they arrive: ControlLink already drops those older than the newest one.
    ++m_permitsReceived;
    m_loadLimiter.applyAnswer(
        {.permittedLimits = {.loadsPerSecond = permit.loadsPerSecond, .concurrentLoads = permit.concurrentLoads},
         .validFor = permit.validFor,
         .stamp = {.term = 0, .number = m_permitsReceived},
         .quota = {.loadsPerSecond = permit.quotaLoadsPerSecond, .concurrentLoads = permit.quotaConcurrentLoads}},
        sentAt, Clock::now());
}

asio::awaitable<void> StorePermitRenewer::run()
{
    bool granted = true;
    while (m_requestPermit) {
        const auto sentAt = Clock::now();
        StorePermit wanted;
        wanted.concurrentLoads = m_wantedLoads;
        wanted.loadsPerSecond = wanted.concurrentLoads * LoadsPerSlotPerSecond;
        wanted.inFlight = m_loadLimiter.inFlight();
        m_loadLimiter.relinquishExcess(
            {.loadsPerSecond = wanted.loadsPerSecond, .concurrentLoads = wanted.concurrentLoads}, sentAt);
        m_requestedLoads = wanted.concurrentLoads;
        const auto permit = co_await m_requestPermit(m_zone, m_number, wanted);
        auto next = RetryInterval;
        if (permit.has_value()) {
            applyPermit(permit.value(), sentAt);
            next = std::clamp(permit.value().validFor / 3, RetryInterval, MaxRenewInterval);
        } else if (m_quota) {
            // A coordinator that has never received a permit learns the quota only from the configuration watch.
            const auto quota = m_quota();
            m_loadLimiter.setQuota(
                {.loadsPerSecond = quota.quotaLoadsPerSecond, .concurrentLoads = quota.quotaConcurrentLoads},
                Clock::now());
        }
        if (permit.has_value() != granted) {
            granted = permit.has_value();
            LogLine(LogLevel::Info, granted ? "store_permit_granted" : "store_permit_missing")
                .add("reason", granted ? "renewed" : permit.error().detail);
        }
        m_onRequestEnded();
        // Limits the rate of permit requests during a burst of new demand.
        co_await pause(MinRequestInterval);
        if (m_wantedLoads == m_requestedLoads) {
            m_wake.expires_after(next - MinRequestInterval);
            boost::system::error_code ignored;
            co_await m_wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }
}

void StorePermitRenewer::setWanted(int loads)
{
    m_wantedLoads = loads;
    if (m_wantedLoads != m_requestedLoads) {
        m_wake.cancel();
    }
}

ZoneLoadLimiter &StorePermitRenewer::loadLimiter()
{
    return m_loadLimiter;
}

} // namespace tamarackcove
