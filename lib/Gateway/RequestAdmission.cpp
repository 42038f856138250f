#include "RequestExchange.h"
#include "tamarackcove/Gateway/FleetView.h"
#include "tamarackcove/Gateway/ServiceAdmission.h"
#include "tamarackcove/Gateway/WorkspaceAdmission.h"
#include "tamarackcove/Observe/Metrics.h"
#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

bool RequestRelay::identifyWorkspace(Exchange &exchange)
{
    const auto &workspaces = exchange.routes->workspaces();
    exchange.priority = exchange.route->priority;
    if (workspaces.empty() || exchange.route->isPublic) {
        return true;
    }
    exchange.workspace = workspaces.find(exchange.caller.workspaceKey);
    if (exchange.workspace == nullptr) {
        exchange.failureDetail = exchange.caller.workspaceKey.empty() ? "the request carries no key"
                                                                      : "no workspace holds the key of the request";
        return false;
    }
    exchange.priority = exchange.workspace->priority.value_or(exchange.route->priority);
    return true;
}

asio::awaitable<bool> RequestRelay::admit(Exchange &exchange)
{
    if (!identifyWorkspace(exchange)) {
        co_await refuse(exchange, EntryRefusal::UnknownKey, milliseconds(0));
        co_return false;
    }
    if (exchange.workspace != nullptr) {
        m_parts.metrics.count(Metrics::labelled("workspace_requests_total", {{"workspace", exchange.workspaceName()}}));
    }
    if (exchange.workspace == nullptr || !exchange.workspace->allowance) {
        co_return true;
    }
    co_return co_await takeAllowance(exchange);
}

asio::awaitable<bool> RequestRelay::takeAllowance(Exchange &exchange)
{
    const auto &workspace = *exchange.workspace;
    const auto units = workspace.allowance->costOf(exchange.caller.promptTokens, exchange.caller.maxOutputTokens);
    Timer timer(co_await asio::this_coro::executor);
    exchange.watched.timer = &timer;
    const auto decision = co_await m_parts.view.admission().decide(workspace, units, timer);
    exchange.watched.timer = nullptr;
    const bool granted = decision.verdict == EntryAllowances::Verdict::Granted;
    auto &metrics = m_parts.metrics;
    metrics.count(Metrics::labelled("allowance_decisions_total",
                                    {{"workspace", exchange.workspaceName()},
                                     {"decision", granted ? "granted" : "refused"},
                                     {"reason", decision.reason}}));
    if (granted) {
        exchange.allowanceUnits = units;
        metrics.count(Metrics::labelled("workspace_used_units_total", {{"workspace", exchange.workspaceName()}}),
                      static_cast<std::uint64_t>(units));
        if (exchange.watched.isCallerGone()) {
            returnAllowance(exchange);
            co_return false;
        }
        co_return true;
    }
    if (exchange.watched.isCallerGone()) {
        co_return false;
    }
    const auto now = Clock::now();
    auto &allowances = m_parts.view.admission().allowances();
    const auto retryAfter = allowances.retryAfter(workspace.name, units, now);
    logOverAllowance(exchange, units, decision.reason, retryAfter);
    exchange.failureDetail = "the workspace is over its allowance";
    co_await refuse(exchange, EntryRefusal::OverAllowance, retryAfter);
    co_return false;
}

void RequestRelay::returnAllowance(const Exchange &exchange)
{
    if (exchange.allowanceUnits > 0 && exchange.sendCount == 0) {
        m_parts.view.admission().allowances().giveBack(exchange.workspace->name, exchange.allowanceUnits, Clock::now());
    }
}

ServiceAdmission::Applicant RequestRelay::applicantOf(const Exchange &exchange)
{
    return {.attemptId = exchange.caller.attemptId,
            .service = exchange.service,
            .request = {.priority = exchange.priority,
                        .weight = exchange.weight,
                        .firstSentAt = exchange.firstSentAt,
                        .goal = exchange.route->goal,
                        .deadline = exchange.deadline}};
}

asio::awaitable<bool> RequestRelay::awaitAdmission(Exchange &exchange)
{
    auto &admission = m_parts.admission;
    exchange.firstSentAt = exchange.arrivedAt;
    // A request that is refused anyway must not wait before that.
    if (!admission.enabled() || quarantinedSuspect(exchange) != nullptr || refusedByStop(exchange)) {
        co_return true;
    }
    if (exchange.caller.callerTimeout) {
        exchange.firstSentAt -= admission.timeSinceFirstAttempt(exchange.route->name, *exchange.caller.callerTimeout,
                                                                exchange.arrivedAt);
    }
    auto applicant = applicantOf(exchange);
    auto decision = admission.offer(applicant, Clock::now());
    if (decision.verdict == AdmissionControl::Verdict::Hold) {
        Timer timer(co_await asio::this_coro::executor);
        exchange.watched.timer = &timer;
        const auto interrupted = [this, &exchange] {
            return exchange.watched.isCallerGone() || refusedByStop(exchange);
        };
        decision = co_await admission.awaitRoom(std::move(applicant), decision, timer, interrupted);
        exchange.watched.timer = nullptr;
    }
    if (exchange.watched.isCallerGone()) {
        co_return false;
    }
    if (decision.verdict == AdmissionControl::Verdict::Refuse) {
        exchange.failureDetail = "the service is overloaded";
        co_await refuse(exchange, EntryRefusal::Overloaded, decision.retryAfter);
        co_return false;
    }
    co_return true;
}

void RequestRelay::recordServiceTime(const Exchange &exchange)
{
    // Of a request that was sent more than once, the answer may come from an earlier server.
    if (exchange.outcome != RequestOutcome::Answered || exchange.sendCount != 1) {
        return;
    }
    const auto now = Clock::now();
    const auto answeredAt = exchange.firstEventAt.value_or(now);
    m_parts.admission.recordAnswer(exchange.service, applicantOf(exchange).request, now - exchange.sentAt,
                                   answeredAt - exchange.sentAt);
}

std::optional<int> RequestRelay::urgencyOf(const Exchange &exchange, TimePoint now) const
{
    const auto *profile = exchange.routes->configuration().find(exchange.service);
    const bool limited = m_parts.admission.limits(exchange.service);
    if (profile == nullptr || !profile->engine || (!limited && !exchange.routes->workspaces().hasPriorities())) {
        return std::nullopt;
    }
    // Leaves room between the priorities for requests that have missed their goal, and at both ends of the scale for
    // requests of the system itself.
    constexpr int MostUrgent = 2;
    constexpr int PriorityStep = 2;
    const int missed = limited && m_parts.admission.missesGoal(applicantOf(exchange), now) ? 1 : 0;
    return std::min(MostUrgent + PriorityStep * std::clamp(exchange.priority, 0, Dispatch::MaxUrgency) + missed,
                    Dispatch::MaxUrgency);
}

} // namespace tamarackcove
