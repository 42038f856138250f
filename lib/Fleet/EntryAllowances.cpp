#include "tamarackcove/Fleet/EntryAllowances.h"

#include <algorithm>
#include <utility>

namespace tamarackcove {

/// When callers of a workspace that is over its allowance should come back, at the earliest and at the latest. Earlier
/// retries would mostly be refused again; later ones come after the goals of the routes.
static constexpr milliseconds MinRetryAfter{300};
static constexpr milliseconds RetryAfterOverload{1000};
static constexpr milliseconds MaxRetryAfter{2000};

EntryAllowances::EntryAllowances(Hooks hooks)
    : m_hooks(std::move(hooks))
{
}

void EntryAllowances::setActive(bool active)
{
    m_active = active;
    if (!active) {
        m_shares.clear();
    }
}

EntryAllowances::Decision EntryAllowances::decide(const Workspace &workspace, double units, TimePoint now)
{
    const auto [found, isNew] = m_shares.try_emplace(workspace.name);
    auto &share = found->second;
    if (isNew) {
        share.renew(m_renewedAt, now);
        if (!m_leaderConnected) {
            share.loseLeader(now);
        }
    }
    share.noteRequest(units);
    const bool leaderAnswers = share.mode(now) == AllowanceShare::Mode::Leased;
    if (leaderAnswers && share.share().admittedPart < 1 && m_hooks.draw() >= share.share().admittedPart) {
        return {.verdict = Verdict::Refused, .reason = "admitted_part"};
    }
    if (share.take(units, now)) {
        return {.verdict = Verdict::Granted, .reason = leaderAnswers ? "share" : "standalone"};
    }
    if (!m_leaderConnected) {
        return {.verdict = Verdict::Refused, .reason = "no_leader"};
    }
    const auto lease = ++m_lastLease;
    m_unsentRequests.push_back({.workspace = workspace.name, .number = lease, .units = units});
    m_awaited.emplace(lease, units);
    return {.verdict = Verdict::AwaitsLease, .reason = "lease_awaited", .lease = lease};
}

EntryAllowances::Decision EntryAllowances::settle(const Workspace &workspace, double units, std::uint64_t lease,
                                                  TimePoint now)
{
    m_awaited.erase(lease);
    auto &share = m_shares[workspace.name];
    if (const auto decided = m_decisions.extract(lease)) {
        if (decided.mapped()) {
            share.useLease(units);
            return {.verdict = Verdict::Granted, .reason = "lease"};
        }
        const bool inFailure = share.mode(now) != AllowanceShare::Mode::Leased || share.share().mayOverdraw;
        if (!inFailure || !share.takeOverdrawn(units, now)) {
            return {.verdict = Verdict::Refused, .reason = "lease_refused"};
        }
        return {.verdict = Verdict::Granted, .reason = "overdraft"};
    }
    std::erase_if(m_unsentRequests, [&](const auto &request) { return request.number == lease; });
    if (share.takeOverdrawn(units, now)) {
        return {.verdict = Verdict::Granted, .reason = "overdraft"};
    }
    return {.verdict = Verdict::Refused, .reason = "lease_unanswered"};
}

void EntryAllowances::giveBack(const WorkspaceName &workspace, double units, TimePoint now)
{
    const auto found = m_shares.find(workspace);
    if (found != m_shares.end()) {
        found->second.giveBack(units, now);
    }
}

milliseconds EntryAllowances::retryAfter(const WorkspaceName &workspace, double units, TimePoint now)
{
    auto &share = m_shares[workspace];
    if (share.share().admittedPart < 1) {
        return RetryAfterOverload;
    }
    return std::clamp(share.timeUntil(units, now).value_or(MinRetryAfter), MinRetryAfter, MaxRetryAfter);
}

void EntryAllowances::meetLeader()
{
    m_leaderConnected = true;
    m_nextReportIsFirst = true;
}

void EntryAllowances::loseLeader(TimePoint now)
{
    m_leaderConnected = false;
    for (auto &[name, share] : m_shares) {
        share.loseLeader(now);
    }
}

std::vector<std::uint64_t> EntryAllowances::apply(const AllowanceAnswer &answer, TimePoint now)
{
    if (!m_active || !m_leaderConnected || m_nextReportIsFirst) {
        return {};
    }
    m_renewedAt = std::max(m_renewedAt, answer.reportMadeAt);
    m_appliedNumber = std::max(m_appliedNumber, answer.number);
    for (const auto &[name, leased] : answer.shares) {
        m_shares[name].setShare(leased, now);
    }
    for (auto &[name, share] : m_shares) {
        share.renew(m_renewedAt, now);
    }
    std::vector<std::uint64_t> decided;
    for (const auto &decision : answer.decisions) {
        if (m_awaited.contains(decision.number)) {
            m_decisions[decision.number] = decision.granted;
            decided.push_back(decision.number);
        }
    }
    return decided;
}

std::optional<AllowanceReport> EntryAllowances::takeReport(TimePoint now)
{
    if (!m_active) {
        return std::nullopt;
    }
    AllowanceReport report;
    report.madeAt = now;
    report.isFirst = std::exchange(m_nextReportIsFirst, false);
    if (report.isFirst) {
        m_appliedNumber = 0;
        report.withoutLeader = m_renewedAt == TimePoint() ? Duration(0) : now - m_renewedAt;
    }
    report.appliedNumber = m_appliedNumber;
    for (auto &[name, share] : m_shares) {
        if (report.isFirst && share.mode(now) != AllowanceShare::Mode::Expired && share.share().standaloneRate > 0) {
            report.held.push_back({.workspace = name,
                                   .rate = share.share().rate,
                                   .burst = share.share().burst,
                                   .standaloneRate = share.share().standaloneRate,
                                   .holders = share.share().holders});
        }
        if (auto use = share.takeReport()) {
            use->workspace = name;
            if (report.isFirst) {
                // Of the time without a leader; it would seem to be the load of a single report interval.
                *use = {.workspace = name, .usedUnits = use->usedUnits};
            }
            report.uses.push_back(std::move(*use));
        }
    }
    report.leaseRequests = std::exchange(m_unsentRequests, {});
    return report;
}

TimePoint EntryAllowances::renewedAt() const
{
    return m_renewedAt;
}

std::vector<EntryAllowances::Usage> EntryAllowances::usage(TimePoint now)
{
    std::vector<Usage> all;
    all.reserve(m_shares.size());
    for (auto &[name, share] : m_shares) {
        all.push_back({.workspace = name, .share = share.share(), .level = share.level(now), .mode = share.mode(now)});
    }
    return all;
}

} // namespace tamarackcove
