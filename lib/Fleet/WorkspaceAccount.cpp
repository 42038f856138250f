#include "tamarackcove/Fleet/WorkspaceAccount.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace tamarackcove {

/// The sum of the standalone rates, as a part of the rate. Usual use is a little over half of an allowance, so that
/// entries without a leader have enough, and the rest can be used while shares of lost entries are outstanding.
static constexpr double LeasedPart = 0.8;
/// The part of its standalone rate that an entry uses while the leader answers. Requests that are larger than the share
/// cause about half of the cost, and are served from the pool.
static constexpr double LocalPart = 0.5;
/// The part of the leased rate that is divided equally, so that the first request of an entry finds a share.
static constexpr double EqualPart = 0.4;
/// The pool keeps half of the burst, and more of a small one, to hold the largest ordinary requests (40,000 tokens).
static constexpr double PoolPart = 0.5;
static constexpr double MaxPoolPart = 0.75;
static constexpr double PoolTokens = 60000;
/// Shares are used while the leader answers only if the share of the burst holds this many requests
/// of the mean cost, which is about twice the cost of an ordinary one.
static constexpr double RequestsPerShare = 1;
/// A bound on what may be used beyond the allowance for failures: the part of the limit in a window, and tokens.
static constexpr double ReservePart = 0.1;
static constexpr double ReserveTokens = 110000;
static constexpr double WindowSeconds = 8;
/// The part of that reserve which entries may overdraw their buckets by, all together, without a leader.
static constexpr double OverdraftPart = 0.6;
/// Added to the sum of the bursts that entries use without a leader, in seconds of the rate. The part of the rate that
/// is never leased makes up for it in half a window.
static constexpr double StandaloneBurstSeconds = 0.8;
/// The smallest burst in seconds of the rate, for allowances that state none.
static constexpr double MinBurstSeconds = 0.5;
/// A share is changed if it differs from what the entry should have by more than this part.
static constexpr double ShareTolerance = 0.25;
static constexpr double AdmittedTolerance = 0.1;
/// A share is sent again if one of its terms has changed by more than this part.
static constexpr double TermTolerance = 0.05;
/// While the allowance is exceeded, requests for this part of the capacity are considered, so that it is used in full.
static constexpr double AdmittedSurplus = 1.1;
static constexpr double MinAdmittedPart = 0.02;
/// Longest time that a request for a one-time lease is queued. Entries wait 150 ms for the answer.
static constexpr milliseconds MaxQueueTime{110};
/// Decay times of the load by which the allowance counts as exceeded, and of the demand by which shares are divided. An
/// entry gets a request of a small workspace only every few seconds.
static constexpr seconds LoadTime{1};
static constexpr seconds DemandTime{10};

static double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

WorkspaceAccount::WorkspaceAccount(const WorkspaceAllowance &allowance, TimePoint now)
    : m_allowance(allowance)
    , m_filledAt(now)
    , m_decayedAt(now)
    , m_reviewedAt(now)
{
}

void WorkspaceAccount::setAllowance(const WorkspaceAllowance &allowance, TimePoint now)
{
    refill(now);
    m_allowance = allowance;
}

double WorkspaceAccount::burst() const
{
    return std::max(m_allowance.burst, MinBurstSeconds * m_allowance.ratePerSecond);
}

double WorkspaceAccount::failureReserve() const
{
    const auto tokens = m_allowance.unit == WorkspaceAllowance::Unit::Tokens ? ReserveTokens : 0.0;
    return ReservePart * (WindowSeconds * m_allowance.ratePerSecond + burst()) + tokens;
}

double WorkspaceAccount::poolOverdraft() const
{
    return std::min(m_largestRequest, m_poolBurst / 2);
}

void WorkspaceAccount::refill(TimePoint now)
{
    if (now > m_filledAt) {
        const auto cap = m_poolBurst - poolOverdraft();
        m_poolLevel = std::min(m_poolLevel + m_poolRate * secondsOf(now - m_filledAt), cap);
        m_filledAt = now;
    }
}

void WorkspaceAccount::decayDemand(TimePoint now)
{
    const auto passed = secondsOf(now - m_decayedAt);
    if (passed <= 0) {
        return;
    }
    m_recentUnits *= std::exp(-passed / secondsOf(LoadTime));
    const auto slow = std::exp(-passed / secondsOf(DemandTime));
    m_sampleRequests *= slow;
    m_sampleUnits *= slow;
    m_decayedAt = now;
}

void WorkspaceAccount::noteUse(const EntryId &entry, const AllowanceReport::Use &use, TimePoint now)
{
    refill(now);
    decayDemand(now);
    m_recentUnits += use.requestedUnits;
    m_sampleUnits += use.requestedUnits;
    m_sampleRequests += static_cast<double>(use.requests);
    m_usedUnits += use.usedUnits - use.returnedUnits;
    m_poolLevel = std::min(m_poolLevel + use.returnedUnits, m_poolBurst - poolOverdraft());
    m_holders[entry].requests += static_cast<double>(use.requests);
}

void WorkspaceAccount::creditTimeWithoutLeader(Duration time, TimePoint now)
{
    refill(now);
    const auto credit = ((1 - LeasedPart) * secondsOf(time) - StandaloneBurstSeconds) * m_allowance.ratePerSecond;
    m_poolLevel = std::min(m_poolLevel + std::max(credit, 0.0), m_poolBurst - poolOverdraft());
}

void WorkspaceAccount::noteHeld(const EntryId &entry, const AllowanceReport::HeldShare *held)
{
    auto &holder = m_holders[entry];
    const auto requests = holder.requests;
    holder = {};
    holder.requests = requests;
    if (held != nullptr) {
        holder.countedRate = held->rate;
        holder.countedBurst = held->burst;
        holder.countedStandaloneRate = held->standaloneRate;
        m_reportedHolders = std::max(m_reportedHolders, held->holders);
    }
}

void WorkspaceAccount::noteApplied(const EntryId &entry, std::uint64_t number)
{
    const auto found = m_holders.find(entry);
    if (found == m_holders.end() || found->second.unappliedNumber == 0 || found->second.unappliedNumber > number) {
        return;
    }
    auto &holder = found->second;
    holder.unappliedNumber = 0;
    holder.countedRate = holder.share.rate;
    holder.countedBurst = holder.share.burst;
    holder.countedStandaloneRate = holder.share.standaloneRate;
}

bool WorkspaceAccount::poolGrants(double units) const
{
    const auto overdraft = poolOverdraft();
    const auto cap = m_poolBurst - overdraft;
    // Beyond the burst and most of the reserve a request can never be served.
    if (units > burst() + OverdraftPart * failureReserve()) {
        return false;
    }
    return m_poolLevel > 0 && m_poolLevel >= std::min(cap, units - overdraft);
}

void WorkspaceAccount::request(const EntryId &entry, std::uint64_t lease, double units, TimePoint now)
{
    refill(now);
    m_largestRequest = std::max(m_largestRequest, units);
    const auto due = m_queuedUnits - m_poolLevel;
    if (due >= m_poolRate * secondsOf(MaxQueueTime)) {
        m_decisions.push_back({.entry = entry, .lease = lease, .granted = false});
        return;
    }
    m_queuedUnits += units;
    m_requests.push_back({.entry = entry, .lease = lease, .units = units, .queuedAt = now});
}

std::vector<WorkspaceAccount::Decision> WorkspaceAccount::decide(TimePoint now)
{
    refill(now);
    // The first request is served before any later one, whatever their sizes.
    while (!m_requests.empty()) {
        const auto &first = m_requests.front();
        const bool granted = poolGrants(first.units);
        if (!granted && now < first.queuedAt + MaxQueueTime) {
            break;
        }
        if (granted) {
            m_poolLevel -= first.units;
        }
        m_queuedUnits -= first.units;
        m_decisions.push_back({.entry = first.entry, .lease = first.lease, .granted = granted});
        m_requests.pop_front();
    }
    if (m_requests.empty()) {
        m_queuedUnits = 0;
    }
    return std::exchange(m_decisions, {});
}

WorkspaceAccount::Sums WorkspaceAccount::sumUp(const std::map<EntryId, EntryState> &entries)
{
    Sums sums;
    for (auto it = m_holders.begin(); it != m_holders.end();) {
        ++m_visits;
        auto &holder = it->second;
        const auto entry = entries.find(it->first);
        if (entry == entries.end()) {
            it = m_holders.erase(it);
            continue;
        }
        sums.localBurst += holder.countedBurst;
        sums.leased += holder.countedStandaloneRate;
        if (entry->second.live) {
            ++sums.live;
            sums.localRate += holder.countedRate;
            sums.requests += holder.requests;
        } else {
            sums.silent += holder.countedStandaloneRate;
        }
        ++it;
    }
    return sums;
}

void WorkspaceAccount::updatePool(const Sums &sums, double unknown)
{
    const auto uncontrolled = sums.silent + unknown;
    // A tenth of the rate is reserved for failures: entries that were lost mostly use less than their shares.
    const auto reserve = std::min(ReservePart * m_allowance.ratePerSecond, uncontrolled);
    m_poolRate = std::max(m_allowance.ratePerSecond + reserve - uncontrolled - sums.localRate, 0.0);
    m_poolBurst = std::max(burst() - sums.localBurst, 0.0);
    m_poolLevel = std::min(m_poolLevel, m_poolBurst - poolOverdraft());
}

void WorkspaceAccount::updateAdmittedPart(const Sums &sums)
{
    const auto capacity = m_poolRate + sums.localRate;
    const auto load = m_recentUnits / secondsOf(LoadTime);
    const bool poolIsLow = m_poolLevel < (m_poolBurst - poolOverdraft()) / 4;
    const bool exceeded = m_admittedPart < 1 ? load > capacity : load > AdmittedSurplus * capacity && poolIsLow;
    m_admittedPart = exceeded ? std::clamp(AdmittedSurplus * capacity / load, MinAdmittedPart, 1.0) : 1.0;
}

void WorkspaceAccount::chooseSharesInUse(double sharedBurst, double live)
{
    const auto meanCost = m_sampleRequests > 0 ? m_sampleUnits / m_sampleRequests : 0.0;
    // The bounds differ, so that the choice does not alternate.
    const auto neededBurst = RequestsPerShare * live * meanCost * (m_sharesInUse ? 0.75 : 1.25);
    m_sharesInUse = meanCost > 0 && sharedBurst >= neededBurst;
}

LeasedShare WorkspaceAccount::shareAt(double standaloneRate, double sharedBurst, bool mayOverdraw,
                                      bool isColdStart) const
{
    const auto leasable = LeasedPart * m_allowance.ratePerSecond;
    const auto part = leasable > 0 ? standaloneRate / leasable : 0.0;
    const auto holders = std::max<std::uint64_t>(m_holders.size(), m_reportedHolders);
    LeasedShare share;
    share.rate = m_sharesInUse ? LocalPart * standaloneRate : 0;
    share.burst = m_sharesInUse ? sharedBurst * part : 0;
    share.standaloneRate = standaloneRate;
    share.standaloneBurst = part * (burst() + StandaloneBurstSeconds * m_allowance.ratePerSecond);
    share.fallbackRate = ReservePart * m_allowance.ratePerSecond / static_cast<double>(holders);
    // The first entries to report after a start of everything would divide the whole overdraft among them.
    share.overdraft = isColdStart ? 0 : OverdraftPart * failureReserve() / static_cast<double>(holders);
    share.mayOverdraw = mayOverdraw && m_admittedPart == 1;
    share.holders = holders;
    share.admittedPart = m_admittedPart;
    return share;
}

static bool differs(double a, double b, double tolerance)
{
    return std::abs(a - b) > tolerance * b;
}

/// Whether an entry must be told of the new share.
static bool differs(const LeasedShare &next, const LeasedShare &sent)
{
    return differs(next.standaloneRate, sent.standaloneRate, TermTolerance)
        || differs(next.rate, sent.rate, TermTolerance) || differs(next.burst, sent.burst, TermTolerance)
        || differs(next.standaloneBurst, sent.standaloneBurst, TermTolerance)
        || differs(next.overdraft, sent.overdraft, ShareTolerance)
        || differs(next.admittedPart, sent.admittedPart, AdmittedTolerance) || next.mayOverdraw != sent.mayOverdraw
        || (next.admittedPart == 1) != (sent.admittedPart == 1);
}

std::vector<EntryId> WorkspaceAccount::review(const std::map<EntryId, EntryState> &entries, TimePoint unknownUntil,
                                              bool settling, TimePoint now)
{
    refill(now);
    decayDemand(now);
    const auto decay = std::exp(-secondsOf(now - std::exchange(m_reviewedAt, now)) / secondsOf(DemandTime));
    for (const auto &[id, entry] : entries) {
        if (entry.live) {
            m_holders.try_emplace(id);
        }
    }
    for (auto &[id, holder] : m_holders) {
        holder.requests *= decay;
    }
    const auto sums = sumUp(entries);
    const auto leasable = LeasedPart * m_allowance.ratePerSecond;
    const bool allKnown = m_reportedHolders > 0 && m_holders.size() >= m_reportedHolders;
    const auto unknown = now < unknownUntil && !allKnown ? std::max(leasable - sums.leased, 0.0) : 0.0;
    m_leasedRate = sums.leased;
    m_silentRate = sums.silent;
    updatePool(sums, unknown);
    updateAdmittedPart(sums);
    if (sums.live == 0) {
        return {};
    }

    const auto live = static_cast<double>(sums.live);
    const auto sharedBurst = burst() - std::max(PoolPart * burst(), std::min(MaxPoolPart * burst(), PoolTokens));
    chooseSharesInUse(sharedBurst, live);
    const auto target = [&](const Holder &holder) {
        const auto byDemand = sums.requests < 1 ? 1 / live : holder.requests / sums.requests;
        return leasable * (EqualPart / live + (1 - EqualPart) * byDemand);
    };
    double wanted = 0;
    for (const auto &[id, holder] : m_holders) {
        if (entries.at(id).live) {
            wanted += std::max(target(holder) - holder.countedStandaloneRate, 0.0);
        }
    }
    const auto free = std::max(leasable - sums.leased - unknown, 0.0);
    const auto raisePart = wanted > 0 ? std::min(free / wanted, 1.0) : 0.0;

    const bool mayOverdraw = settling || sums.silent + unknown > 0;
    const bool isColdStart = m_reportedHolders == 0 && now < unknownUntil;
    std::vector<EntryId> changed;
    for (auto &[id, holder] : m_holders) {
        ++m_visits;
        if (!entries.at(id).live) {
            continue;
        }
        const auto aim = target(holder);
        auto rate = holder.hasShare ? holder.share.standaloneRate : holder.countedStandaloneRate;
        if (aim < (1 - ShareTolerance) * rate) {
            rate = aim;
        } else if (aim > (1 + ShareTolerance) * rate) {
            // What the entry may still hold of an earlier share is counted as leased already.
            rate = std::max(rate, holder.countedStandaloneRate + raisePart * (aim - holder.countedStandaloneRate));
        }
        const auto next = shareAt(rate, sharedBurst, mayOverdraw, isColdStart);
        if (holder.hasShare && !differs(next, holder.share)) {
            continue;
        }
        holder.share = next;
        holder.hasShare = true;
        holder.unappliedNumber = NotSent;
        holder.countedRate = std::max(holder.countedRate, next.rate);
        holder.countedBurst = std::max(holder.countedBurst, next.burst);
        holder.countedStandaloneRate = std::max(holder.countedStandaloneRate, next.standaloneRate);
        changed.push_back(id);
    }
    // What has been leased now is no longer in the pool.
    updatePool(sumUp(entries), unknown);
    return changed;
}

LeasedShare WorkspaceAccount::takeShare(const EntryId &entry, std::uint64_t number)
{
    auto &holder = m_holders[entry];
    holder.unappliedNumber = number;
    return holder.share;
}

bool WorkspaceAccount::hasRequests() const
{
    return !m_requests.empty() || !m_decisions.empty();
}

WorkspaceAccount::Totals WorkspaceAccount::totals() const
{
    return {.requestedRate = m_recentUnits / secondsOf(LoadTime),
            .usedUnits = m_usedUnits,
            .poolLevel = m_poolLevel,
            .poolRate = m_poolRate,
            .leasedRate = m_leasedRate,
            .silentRate = m_silentRate,
            .admittedPart = m_admittedPart};
}

std::uint64_t WorkspaceAccount::visits() const
{
    return m_visits;
}

} // namespace tamarackcove
