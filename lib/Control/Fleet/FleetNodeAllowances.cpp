#include "FleetNodeImpl.h"
#include "tamarackcove/Wire/AllowanceMessages.h"
#include "tamarackcove/Wire/Codec.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

/// Interval at which the ledger decides on requests for one-time leases that wait for its pools. Entries wait 150 ms
/// for a decision.
static constexpr milliseconds LeaseInterval{20};

static AllowanceReport toReport(const AllowanceReportMessage &message)
{
    AllowanceReport report;
    report.madeAt = TimePoint(milliseconds(message.madeAtMs));
    report.appliedNumber = message.appliedNumber;
    report.isFirst = message.isFirst;
    report.withoutLeader = milliseconds(message.withoutLeaderMs);
    for (const auto &share : message.held) {
        report.held.push_back({.workspace = WorkspaceName(share.workspace),
                               .rate = share.rate,
                               .burst = share.burst,
                               .standaloneRate = share.standaloneRate,
                               .holders = share.holders});
    }
    for (const auto &use : message.uses) {
        report.uses.push_back({.workspace = WorkspaceName(use.workspace),
                               .requests = use.requests,
                               .requestedUnits = use.requestedUnits,
                               .usedUnits = use.usedUnits,
                               .returnedUnits = use.returnedUnits});
    }
    for (const auto &request : message.leaseRequests) {
        report.leaseRequests.push_back(
            {.workspace = WorkspaceName(request.workspace), .number = request.number, .units = request.units});
    }
    return report;
}

static AllowanceAnswerMessage toMessageFields(const AllowanceAnswer &answer)
{
    AllowanceAnswerMessage message;
    message.number = answer.number;
    message.reportMadeAtMs = duration_cast<milliseconds>(answer.reportMadeAt.time_since_epoch()).count();
    for (const auto &[workspace, share] : answer.shares) {
        message.shares.push_back({.workspace = workspace.value(),
                                  .rate = share.rate,
                                  .burst = share.burst,
                                  .standaloneRate = share.standaloneRate,
                                  .standaloneBurst = share.standaloneBurst,
                                  .fallbackRate = share.fallbackRate,
                                  .overdraft = share.overdraft,
                                  .mayOverdraw = share.mayOverdraw,
                                  .holders = share.holders,
                                  .admittedPart = share.admittedPart});
    }
    for (const auto &decision : answer.decisions) {
        (decision.granted ? message.granted : message.refused).push_back(decision.number);
    }
    return message;
}

void FleetNode::Impl::applyAllowances(const FleetReportMessage &report)
{
    if (!report.allowances.present || !allowances.active()) {
        return;
    }
    const bool hadQueued = allowances.hasQueued();
    allowances.applyReport(EntryId(report.entry), toReport(report.allowances), Clock::now());
    sendLeaseDecisions();
    if (allowances.hasQueued() && !hadQueued) {
        leaseTimer.cancel();
    }
}

void FleetNode::Impl::sendLeaseDecisions()
{
    if (const auto decided = allowances.takeDecided(); !decided.empty()) {
        links.sendSoon(decided);
    }
}

asio::awaitable<void> FleetNode::Impl::decideLeases()
{
    for (;;) {
        leaseTimer.expires_at(allowances.hasQueued() ? Clock::now() + LeaseInterval : TimePoint::max());
        boost::system::error_code ignored;
        co_await leaseTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        allowances.decideQueued(Clock::now());
        sendLeaseDecisions();
    }
}

SharedFrame FleetNode::Impl::allowanceFrame(const EntryId &entry)
{
    const auto answer = allowances.takeAnswer(entry, Clock::now());
    if (!answer) {
        return nullptr;
    }
    auto encoded = encodeFrame(toMessage(toMessageFields(*answer)));
    if (encoded.has_error()) {
        LogLine(LogLevel::Error, "allowances_not_encoded").add("reason", encoded.error().detail);
        return nullptr;
    }
    return std::make_shared<const std::vector<std::uint8_t>>(std::move(encoded).value());
}

void FleetNode::Impl::setAllowances()
{
    if (leading && configuration) {
        allowances.setWorkspaces(configuration->workspaces, Clock::now());
    }
}

void FleetNode::Impl::setAllowanceGauges(Metrics &gauges)
{
    for (const auto &[workspace, totals] : allowances.totals()) {
        const auto gauge = [&gauges, &name = workspace.value()](std::string_view metric, double value) {
            gauges.gauge(Metrics::labelled(metric, {{"workspace", name}}), value);
        };
        gauge("workspace_requested_units_per_second", totals.requestedRate);
        gauge("workspace_used_units", totals.usedUnits);
        gauge("workspace_leased_units_per_second", totals.leasedRate);
        gauge("workspace_silent_units_per_second", totals.silentRate);
        gauge("workspace_pool_units", totals.poolLevel);
        gauge("workspace_pool_units_per_second", totals.poolRate);
        gauge("workspace_admitted_ratio", totals.admittedPart);
    }
    gauges.gauge("allowance_shares_visited", static_cast<double>(allowances.visits()));
}

} // namespace tamarackcove
