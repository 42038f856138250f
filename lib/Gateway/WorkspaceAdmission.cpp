#include "tamarackcove/Gateway/WorkspaceAdmission.h"

#include "tamarackcove/Wire/FleetMessages.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <random>

namespace asio = boost::asio;

namespace tamarackcove {

static std::function<double()> randomDraws()
{
    return [random = std::mt19937(std::random_device()())]() mutable {
        return std::uniform_real_distribution<double>(0, 1)(random);
    };
}

WorkspaceAdmission::WorkspaceAdmission()
    : m_allowances({.draw = randomDraws()})
{
}

EntryAllowances &WorkspaceAdmission::allowances()
{
    return m_allowances;
}

asio::awaitable<EntryAllowances::Decision> WorkspaceAdmission::decide(const Workspace &workspace, double units,
                                                                      Timer &timer)
{
    // Removes the timer also when the coroutine is destroyed while it waits.
    struct Registration
    {
        std::map<std::uint64_t, Timer *> &waiters;
        std::uint64_t lease;
        ~Registration()
        {
            waiters.erase(lease);
        }
    };
    const auto startTime = Clock::now();
    const auto decision = m_allowances.decide(workspace, units, startTime);
    if (decision.verdict != EntryAllowances::Verdict::AwaitsLease) {
        co_return decision;
    }
    m_waiters.emplace(decision.lease, &timer);
    const Registration registration{m_waiters, decision.lease};
    timer.expires_at(startTime + EntryAllowances::MaxLeaseWait);
    if (onLeaseRequest) {
        onLeaseRequest();
    }
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    co_return m_allowances.settle(workspace, units, decision.lease, Clock::now());
}

void WorkspaceAdmission::apply(const AllowanceAnswerMessage &message, TimePoint now)
{
    AllowanceAnswer answer;
    answer.number = message.number;
    answer.reportMadeAt = TimePoint(milliseconds(message.reportMadeAtMs));
    for (const auto &share : message.shares) {
        answer.shares.emplace_back(WorkspaceName(share.workspace),
                                   LeasedShare{.rate = share.rate,
                                               .burst = share.burst,
                                               .standaloneRate = share.standaloneRate,
                                               .standaloneBurst = share.standaloneBurst,
                                               .fallbackRate = share.fallbackRate,
                                               .overdraft = share.overdraft,
                                               .mayOverdraw = share.mayOverdraw,
                                               .holders = share.holders,
                                               .admittedPart = share.admittedPart});
    }
    for (const auto number : message.granted) {
        answer.decisions.push_back({.number = number, .granted = true});
    }
    for (const auto number : message.refused) {
        answer.decisions.push_back({.number = number, .granted = false});
    }
    for (const auto lease : m_allowances.apply(answer, now)) {
        if (const auto waiter = m_waiters.find(lease); waiter != m_waiters.end()) {
            waiter->second->cancel();
        }
    }
}

void WorkspaceAdmission::addTo(FleetReportMessage &message, TimePoint now)
{
    const auto report = m_allowances.takeReport(now);
    if (!report) {
        return;
    }
    auto &fields = message.allowances;
    fields.present = true;
    fields.madeAtMs = duration_cast<milliseconds>(report->madeAt.time_since_epoch()).count();
    fields.appliedNumber = report->appliedNumber;
    fields.isFirst = report->isFirst;
    fields.withoutLeaderMs = duration_cast<milliseconds>(report->withoutLeader).count();
    for (const auto &share : report->held) {
        fields.held.push_back({.workspace = share.workspace.value(),
                               .rate = share.rate,
                               .burst = share.burst,
                               .standaloneRate = share.standaloneRate,
                               .holders = share.holders});
    }
    for (const auto &use : report->uses) {
        fields.uses.push_back({.workspace = use.workspace.value(),
                               .requests = use.requests,
                               .requestedUnits = use.requestedUnits,
                               .usedUnits = use.usedUnits,
                               .returnedUnits = use.returnedUnits});
    }
    for (const auto &request : report->leaseRequests) {
        fields.leaseRequests.push_back(
            {.workspace = request.workspace.value(), .number = request.number, .units = request.units});
    }
}

} // namespace tamarackcove
