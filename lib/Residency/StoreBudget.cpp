#include "tamarackcove/Residency/StoreBudget.h"

#include <algorithm>

namespace tamarackcove {

// Interval after which the next zone becomes the first one that concurrent loads are granted to. If the limit on
// concurrent loads is lower than the number of zones, each zone that wants loads is served in turn.
static constexpr seconds RotationInterval{2};

static LoadLimits componentwiseMax(const LoadLimits &left, const LoadLimits &right)
{
    return {.loadsPerSecond = std::max(left.loadsPerSecond, right.loadsPerSecond),
            .concurrentLoads = std::max(left.concurrentLoads, right.concurrentLoads)};
}

static LoadLimits componentwiseMin(const LoadLimits &left, const LoadLimits &right)
{
    return {.loadsPerSecond = std::min(left.loadsPerSecond, right.loadsPerSecond),
            .concurrentLoads = std::min(left.concurrentLoads, right.concurrentLoads)};
}

StoreBudget::StoreBudget(PermitTiming timing, LoadLimits limits, std::vector<Zone> zones)
    : m_timing(timing)
    , m_limits(limits)
{
    for (auto &zone : zones) {
        m_accounts.emplace(std::move(zone), Account{});
    }
    setLimits(limits);
}

LoadLimits StoreBudget::quotaOf(const Zone &zone) const
{
    const auto found = m_accounts.find(zone);
    if (found == m_accounts.end()) {
        return {};
    }
    const auto count = static_cast<int>(m_accounts.size());
    const auto index = static_cast<int>(std::distance(m_accounts.begin(), found));
    const int remainder = m_limits.concurrentLoads % count;
    return {.loadsPerSecond = m_limits.loadsPerSecond / count,
            .concurrentLoads = m_limits.concurrentLoads / count + (index < remainder ? 1 : 0)};
}

void StoreBudget::setLimits(LoadLimits limits)
{
    m_limits = limits;
    for (auto &[zone, account] : m_accounts) {
        account.quota = componentwiseMax(account.quota, quotaOf(zone));
        account.firstAnswerNumberWithQuota = m_lastNumber + 1;
    }
}

void StoreBudget::beginTerm(TimePoint now, std::uint64_t term)
{
    m_termStartedAt = now;
    m_term = term;
    m_lastNumber = 0;
    for (auto &[zone, account] : m_accounts) {
        account = Account{};
        account.quota = quotaOf(zone);
        account.firstAnswerNumberWithQuota = 1;
    }
}

bool StoreBudget::reachable(const Account &account, TimePoint now) const
{
    return account.hasReceivedAnswer && now - account.lastReceivedGrantAt <= m_timing.lease;
}

bool StoreBudget::predecessorPermitsActive(TimePoint now) const
{
    const bool allZonesReceivedAnswer = std::all_of(m_accounts.begin(), m_accounts.end(),
                                                    [](const auto &entry) { return entry.second.hasReceivedAnswer; });
    return now < m_termStartedAt + m_timing.lease + (allZonesReceivedAnswer ? milliseconds(0) : m_timing.longestLoad);
}

LoadLimits StoreBudget::chargeOf(const Account &account, TimePoint now) const
{
    if (!account.hasReceivedAnswer && now < m_termStartedAt + m_timing.lease + m_timing.longestLoad) {
        return m_limits;
    }
    LoadLimits charged;
    for (const auto &grant : account.grants) {
        // The permitted rate no longer applies once the permit has expired, but a load started under the permit may
        // still be in progress.
        if (now < grant.grantedAt + m_timing.lease) {
            charged.loadsPerSecond = std::max(charged.loadsPerSecond, grant.permittedLimits.loadsPerSecond);
        }
        if (now < grant.grantedAt + m_timing.lease + m_timing.longestLoad) {
            charged.concurrentLoads = std::max(charged.concurrentLoads, grant.permittedLimits.concurrentLoads);
        }
    }
    if (now < account.reportedAt + m_timing.longestLoad) {
        charged.concurrentLoads = std::max(charged.concurrentLoads, account.inFlight);
    }
    return reachable(account, now) ? charged : componentwiseMax(charged, account.quota);
}

void StoreBudget::recordRequest(Account &account, const PermitRequest &request, TimePoint now)
{
    account.fencing = request.fencing;
    account.wanted = request.wanted;
    account.inFlight = request.inFlight;
    account.reportedAt = now;
    if (request.received.term == m_term) {
        const auto received = request.received.number;
        const auto grant = std::find_if(account.grants.begin(), account.grants.end(),
                                        [received](const Grant &given) { return given.number == received; });
        if (grant != account.grants.end() && grant->fencing == request.fencing) {
            account.hasReceivedAnswer = true;
            if (grant->number == account.grants.back().number) {
                // The zone uses this permit, as there is no newer one, and has given up the part that it no longer
                // holds.
                grant->permittedLimits = componentwiseMin(grant->permittedLimits, request.held);
            }
            account.lastReceivedGrantAt = std::max(account.lastReceivedGrantAt, grant->grantedAt);
            if (received >= account.firstAnswerNumberWithQuota) {
                account.quota = quotaOf(request.zone);
            }
            // The coordinator uses only the newest permit that it has received, so older ones are no longer charged to
            // the zone.
            std::erase_if(account.grants, [&](const Grant &given) {
                return given.fencing == request.fencing && given.number < received;
            });
        }
    }
    std::erase_if(account.grants,
                  [&](const Grant &given) { return now >= given.grantedAt + m_timing.lease + m_timing.longestLoad; });
}

std::optional<PermitAnswer> StoreBudget::answerRequest(TimePoint now, const PermitRequest &request)
{
    const auto found = m_accounts.find(request.zone);
    if (found == m_accounts.end() || request.fencing < found->second.fencing) {
        return std::nullopt;
    }
    auto &account = found->second;
    recordRequest(account, request, now);
    LoadLimits permittedLimits;
    if (predecessorPermitsActive(now)) {
        permittedLimits = componentwiseMin(request.held, account.quota);
    } else {
        permittedLimits = fairShare(request.zone, now);
        LoadLimits remaining = m_limits;
        for (const auto &[zone, other] : m_accounts) {
            if (zone != request.zone) {
                const auto charged = chargeOf(other, now);
                remaining.loadsPerSecond -= charged.loadsPerSecond;
                remaining.concurrentLoads -= charged.concurrentLoads;
            }
        }
        permittedLimits = componentwiseMax(componentwiseMin(permittedLimits, remaining), {});
    }
    const auto number = ++m_lastNumber;
    account.grants.push_back(
        {.number = number, .fencing = request.fencing, .permittedLimits = permittedLimits, .grantedAt = now});
    return PermitAnswer{.permittedLimits = permittedLimits,
                        .validFor = m_timing.lease,
                        .stamp = {.term = m_term, .number = number},
                        .quota = quotaOf(request.zone)};
}

double StoreBudget::rateShare(const Zone &zone, const std::vector<Zone> &zones, double capacity) const
{
    // Max-min fairness (water filling): the smallest requested rates are met first, and the remaining capacity is
    // divided equally among the other zones.
    std::vector<double> wantedRates;
    wantedRates.reserve(zones.size());
    for (const auto &zoneName : zones) {
        wantedRates.push_back(m_accounts.at(zoneName).wanted.loadsPerSecond);
    }
    std::sort(wantedRates.begin(), wantedRates.end());
    double remaining = capacity;
    double level = 0;
    for (std::size_t i = 0; i < wantedRates.size(); ++i) {
        const double equal = remaining / static_cast<double>(wantedRates.size() - i);
        level = std::min(wantedRates[i], equal);
        remaining -= level;
    }
    const double wanted = std::min(m_accounts.at(zone).wanted.loadsPerSecond, level);
    return wanted + std::max(remaining, 0.0) / static_cast<double>(zones.size());
}

int StoreBudget::concurrentLoadsShare(const Zone &zone, const std::vector<Zone> &zones, int capacity,
                                      TimePoint now) const
{
    const auto offset = static_cast<std::size_t>(now.time_since_epoch() / RotationInterval);
    std::map<Zone, int> slotsOf;
    // A concurrent load that is granted to a zone but not used reaches another zone only after some time, so each zone
    // gets at most the number of concurrent loads that it wants.
    bool slotGranted = true;
    while (capacity > 0 && slotGranted) {
        slotGranted = false;
        for (std::size_t i = 0; i < zones.size() && capacity > 0; ++i) {
            const auto &zoneName = zones[(offset + i) % zones.size()];
            if (slotsOf[zoneName] < m_accounts.at(zoneName).wanted.concurrentLoads) {
                ++slotsOf[zoneName];
                --capacity;
                slotGranted = true;
            }
        }
    }
    return slotsOf[zone];
}

LoadLimits StoreBudget::fairShare(const Zone &zone, TimePoint now) const
{
    LoadLimits capacity = m_limits;
    std::vector<Zone> sharingZones;
    for (const auto &[zoneName, account] : m_accounts) {
        if (zoneName == zone || reachable(account, now)) {
            sharingZones.push_back(zoneName);
        } else {
            capacity.loadsPerSecond -= account.quota.loadsPerSecond;
            capacity.concurrentLoads -= account.quota.concurrentLoads;
        }
    }
    capacity = componentwiseMax(capacity, {});
    return {.loadsPerSecond = rateShare(zone, sharingZones, capacity.loadsPerSecond),
            .concurrentLoads = concurrentLoadsShare(zone, sharingZones, capacity.concurrentLoads, now)};
}

std::vector<StoreBudget::ZoneSummary> StoreBudget::summary(TimePoint now) const
{
    std::vector<ZoneSummary> all;
    for (const auto &[zone, account] : m_accounts) {
        all.push_back({.zone = zone,
                       .charged = chargeOf(account, now),
                       .quota = account.quota,
                       .reachable = reachable(account, now)});
    }
    return all;
}

const LoadLimits &StoreBudget::limits() const
{
    return m_limits;
}

} // namespace tamarackcove
