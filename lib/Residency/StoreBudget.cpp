#include "tamarackcove/Residency/StoreBudget.h"

#include <algorithm>

namespace tamarackcove {

// A zone that wants loads waits at most this long for its turn when there are fewer concurrent loads than zones.
static constexpr seconds TurnLength{2};

static StoreRights larger(const StoreRights &left, const StoreRights &right)
{
    return {.loadsPerSecond = std::max(left.loadsPerSecond, right.loadsPerSecond),
            .concurrentLoads = std::max(left.concurrentLoads, right.concurrentLoads)};
}

static StoreRights smaller(const StoreRights &left, const StoreRights &right)
{
    return {.loadsPerSecond = std::min(left.loadsPerSecond, right.loadsPerSecond),
            .concurrentLoads = std::min(left.concurrentLoads, right.concurrentLoads)};
}

StoreBudget::StoreBudget(PermitTiming timing, StoreRights limits, std::vector<Zone> zones)
    : m_timing(timing)
    , m_limits(limits)
{
    for (auto &zone : zones) {
        m_accounts.emplace(std::move(zone), Account{});
    }
    setLimits(limits);
}

StoreRights StoreBudget::quotaOf(const Zone &zone) const
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

void StoreBudget::setLimits(StoreRights limits)
{
    m_limits = limits;
    for (auto &[zone, account] : m_accounts) {
        account.quota = larger(account.quota, quotaOf(zone));
        account.quotaKnownFrom = m_lastNumber + 1;
    }
}

void StoreBudget::beginTerm(TimePoint now, std::uint64_t term)
{
    m_begun = now;
    m_term = term;
    m_lastNumber = 0;
    for (auto &[zone, account] : m_accounts) {
        account = Account{};
        account.quota = quotaOf(zone);
        account.quotaKnownFrom = 1;
    }
}

bool StoreBudget::reachable(const Account &account, TimePoint now) const
{
    return account.known && now - account.lastReceived <= m_timing.lease;
}

bool StoreBudget::predecessorActive(TimePoint now) const
{
    const bool allKnown
        = std::all_of(m_accounts.begin(), m_accounts.end(), [](const auto &entry) { return entry.second.known; });
    return now < m_begun + m_timing.lease + (allKnown ? milliseconds(0) : m_timing.longestLoad);
}

StoreRights StoreBudget::charge(const Account &account, TimePoint now) const
{
    if (!account.known && now < m_begun + m_timing.lease + m_timing.longestLoad) {
        return m_limits;
    }
    StoreRights charged;
    for (const auto &grant : account.grants) {
        // A rate ends with its permit; a load that was started under it may go on.
        if (now < grant.at + m_timing.lease) {
            charged.loadsPerSecond = std::max(charged.loadsPerSecond, grant.rights.loadsPerSecond);
        }
        if (now < grant.at + m_timing.lease + m_timing.longestLoad) {
            charged.concurrentLoads = std::max(charged.concurrentLoads, grant.rights.concurrentLoads);
        }
    }
    if (now < account.reportedAt + m_timing.longestLoad) {
        charged.concurrentLoads = std::max(charged.concurrentLoads, account.inFlight);
    }
    return reachable(account, now) ? charged : larger(charged, account.quota);
}

void StoreBudget::note(Account &account, const PermitRequest &request, TimePoint now)
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
            account.known = true;
            if (grant->number == account.grants.back().number) {
                // The zone works by this permit and no newer one, and has given up what it no longer holds of it.
                grant->rights = smaller(grant->rights, request.held);
            }
            account.lastReceived = std::max(account.lastReceived, grant->at);
            if (received >= account.quotaKnownFrom) {
                account.quota = quotaOf(request.zone);
            }
            // The coordinator works by the newest permit only.
            std::erase_if(account.grants, [&](const Grant &given) {
                return given.fencing == request.fencing && given.number < received;
            });
        }
    }
    std::erase_if(account.grants,
                  [&](const Grant &given) { return now >= given.at + m_timing.lease + m_timing.longestLoad; });
}

std::optional<PermitAnswer> StoreBudget::request(TimePoint now, const PermitRequest &request)
{
    const auto found = m_accounts.find(request.zone);
    if (found == m_accounts.end() || request.fencing < found->second.fencing) {
        return std::nullopt;
    }
    auto &account = found->second;
    note(account, request, now);
    StoreRights rights;
    if (predecessorActive(now)) {
        rights = smaller(request.held, account.quota);
    } else {
        rights = share(request.zone, now);
        StoreRights left = m_limits;
        for (const auto &[zone, other] : m_accounts) {
            if (zone != request.zone) {
                const auto charged = charge(other, now);
                left.loadsPerSecond -= charged.loadsPerSecond;
                left.concurrentLoads -= charged.concurrentLoads;
            }
        }
        rights = larger(smaller(rights, left), {});
    }
    const auto number = ++m_lastNumber;
    account.grants.push_back({.number = number, .fencing = request.fencing, .rights = rights, .at = now});
    return PermitAnswer{.rights = rights,
                        .validFor = m_timing.lease,
                        .stamp = {.term = m_term, .number = number},
                        .quota = quotaOf(request.zone)};
}

double StoreBudget::rateShare(const Zone &zone, const std::vector<Zone> &zones, double capacity) const
{
    // Water filling: the smallest wants are met first, and what is left goes to the others in equal parts.
    std::vector<double> wants;
    wants.reserve(zones.size());
    for (const auto &one : zones) {
        wants.push_back(m_accounts.at(one).wanted.loadsPerSecond);
    }
    std::sort(wants.begin(), wants.end());
    double left = capacity;
    double level = 0;
    for (std::size_t i = 0; i < wants.size(); ++i) {
        const double equal = left / static_cast<double>(wants.size() - i);
        level = std::min(wants[i], equal);
        left -= level;
    }
    const double wanted = std::min(m_accounts.at(zone).wanted.loadsPerSecond, level);
    return wanted + std::max(left, 0.0) / static_cast<double>(zones.size());
}

int StoreBudget::loadsShare(const Zone &zone, const std::vector<Zone> &zones, int capacity, TimePoint now) const
{
    const auto turn = static_cast<std::size_t>(now.time_since_epoch() / TurnLength);
    std::map<Zone, int> given;
    // A slot that lies idle in one zone is missing in another for as long as it takes to move it, so each gets only
    // what it wants.
    bool progress = true;
    while (capacity > 0 && progress) {
        progress = false;
        for (std::size_t i = 0; i < zones.size() && capacity > 0; ++i) {
            const auto &one = zones[(turn + i) % zones.size()];
            if (given[one] < m_accounts.at(one).wanted.concurrentLoads) {
                ++given[one];
                --capacity;
                progress = true;
            }
        }
    }
    return given[zone];
}

StoreRights StoreBudget::share(const Zone &zone, TimePoint now) const
{
    StoreRights capacity = m_limits;
    std::vector<Zone> sharing;
    for (const auto &[one, account] : m_accounts) {
        if (one == zone || reachable(account, now)) {
            sharing.push_back(one);
        } else {
            capacity.loadsPerSecond -= account.quota.loadsPerSecond;
            capacity.concurrentLoads -= account.quota.concurrentLoads;
        }
    }
    capacity = larger(capacity, {});
    return {.loadsPerSecond = rateShare(zone, sharing, capacity.loadsPerSecond),
            .concurrentLoads = loadsShare(zone, sharing, capacity.concurrentLoads, now)};
}

std::vector<StoreBudget::ZoneSummary> StoreBudget::summary(TimePoint now) const
{
    std::vector<ZoneSummary> all;
    for (const auto &[zone, account] : m_accounts) {
        all.push_back({.zone = zone,
                       .charged = charge(account, now),
                       .quota = account.quota,
                       .reachable = reachable(account, now)});
    }
    return all;
}

const StoreRights &StoreBudget::limits() const
{
    return m_limits;
}

} // namespace tamarackcove
