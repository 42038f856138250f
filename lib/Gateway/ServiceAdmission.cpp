#include "tamarackcove/Gateway/ServiceAdmission.h"

#include "tamarackcove/Gateway/FleetView.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Observe/Metrics.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>

namespace asio = boost::asio;

namespace tamarackcove {

/// Interval of the log lines on a service that is limited.
static constexpr seconds LogInterval{1};

static std::string_view toString(AdmissionControl::Reason reason)
{
    switch (reason) {
    case AdmissionControl::Reason::Open:
        return "open";
    case AdmissionControl::Reason::Quota:
        return "quota";
    case AdmissionControl::Reason::ClassFloor:
        return "class_floor";
    case AdmissionControl::Reason::Room:
        return "room";
    case AdmissionControl::Reason::Waiting:
        return "waiting";
    case AdmissionControl::Reason::TooLittleTime:
        return "too_little_time";
    case AdmissionControl::Reason::TooManyHeld:
        return "too_many_held";
    case AdmissionControl::Reason::HeldTooLong:
        return "held_too_long";
    }
    return "unknown";
}

static std::string_view decisionName(AdmissionControl::Verdict verdict, bool waited)
{
    switch (verdict) {
    case AdmissionControl::Verdict::Send:
        return waited ? "released" : "admitted";
    case AdmissionControl::Verdict::Hold:
        return "held";
    case AdmissionControl::Verdict::Refuse:
        return "refused";
    }
    return "unknown";
}

ServiceAdmission::Service::Service(std::uint64_t seed)
    : control({.seed = seed})
{
    control.onRelease = [this](AdmissionControl::Ticket ticket) {
        const auto found = waiting.find(ticket);
        if (found != waiting.end()) {
            found->second->cancel();
        }
    };
}

ServiceAdmission::ServiceAdmission(FleetView &view, Metrics &metrics, bool enabled)
    : m_view(view)
    , m_metrics(metrics)
    , m_enabled(enabled)
{
}

ServiceAdmission::Service &ServiceAdmission::service(const ServiceName &name)
{
    const auto found = m_services.find(name);
    return found != m_services.end() ? found->second
                                     : m_services.try_emplace(name, std::random_device()()).first->second;
}

bool ServiceAdmission::enabled() const
{
    return m_enabled;
}

void ServiceAdmission::recordLoads(TimePoint now)
{
    if (!enabled()) {
        // The controls send everything once their last report is old.
        return;
    }
    for (auto &[name, service] : m_services) {
        service.control.recordLoad(m_view.servers().serviceLoad(name, now), now);
        noteState(name, service, now);
    }
}

void ServiceAdmission::noteState(const ServiceName &name, Service &service, TimePoint now)
{
    const auto inputs = service.control.inputs();
    m_metrics.gauge(Metrics::labelled("admission_share", {{"service", name.value()}}), inputs.onTimeShare);
    m_metrics.gauge(Metrics::labelled("admission_held", {{"service", name.value()}}), static_cast<double>(inputs.held));
    const bool limited = service.control.limits();
    const bool changed = std::exchange(service.limited, limited) != limited;
    if (!changed && (!limited || now < service.loggedAt + LogInterval)) {
        return;
    }
    service.loggedAt = now;
    LogLine(LogLevel::Info, "admission")
        .add("service", name.value())
        .add("limited", limited ? "yes" : "no")
        .add("load", inputs.load.inProgress)
        .add("slots", inputs.load.slots)
        .add("target", inputs.target)
        .add("load_age_ms", duration_cast<milliseconds>(inputs.load.reportAge))
        .add("demand_per_s", inputs.demand)
        .add("share", inputs.onTimeShare)
        .add("late_share", inputs.lateShare)
        .add("service_ms", duration_cast<milliseconds>(inputs.serviceTime))
        .add("held", static_cast<std::uint64_t>(inputs.held));
}

void ServiceAdmission::recordAnswer(const ServiceName &name, const AdmissionControl::Request &request,
                                    Duration serviceTime, Duration answerTime)
{
    if (enabled()) {
        service(name).control.recordAnswer(request, serviceTime, answerTime);
    }
}

milliseconds ServiceAdmission::timeSinceFirstAttempt(const std::string &route, milliseconds timeLeft, TimePoint now)
{
    return m_callerBudgets[route].timeSinceFirstAttempt(timeLeft, now);
}

bool ServiceAdmission::limits(const ServiceName &name) const
{
    const auto found = m_services.find(name);
    return found != m_services.end() && found->second.control.limits();
}

bool ServiceAdmission::missesGoal(const Applicant &applicant, TimePoint now) const
{
    const auto found = m_services.find(applicant.service);
    return found != m_services.end() && found->second.control.missesGoal(applicant.request, now);
}

void ServiceAdmission::record(const Applicant &applicant, const AdmissionControl::Decision &decision, bool waited)
{
    const auto priority = std::to_string(applicant.request.priority);
    m_metrics.count(Metrics::labelled("admission_decisions_total",
                                      {{"service", applicant.service.value()},
                                       {"priority", priority},
                                       {"decision", decisionName(decision.verdict, waited)},
                                       {"reason", toString(decision.reason)}}));
    if (decision.verdict != AdmissionControl::Verdict::Refuse) {
        return;
    }
    const auto inputs = service(applicant.service).control.inputs();
    LogLine(LogLevel::Info, "admission_refused")
        .add("request", applicant.attemptId)
        .add("service", applicant.service.value())
        .add("priority", applicant.request.priority)
        .add("reason", toString(decision.reason))
        .add("retry_after_ms", decision.retryAfter)
        .add("load", inputs.load.inProgress)
        .add("slots", inputs.load.slots)
        .add("share", inputs.onTimeShare)
        .add("held", static_cast<std::uint64_t>(inputs.held))
        .add("control_age_ms", m_view.updateAge(Clock::now()));
}

AdmissionControl::Decision ServiceAdmission::offer(const Applicant &applicant, TimePoint now)
{
    auto decision = service(applicant.service).control.offer(applicant.request, now);
    record(applicant, decision, false);
    return decision;
}

asio::awaitable<AdmissionControl::Decision> ServiceAdmission::awaitRoom(Applicant applicant,
                                                                        AdmissionControl::Decision held, Timer &timer,
                                                                        std::function<bool()> interrupted)
{
    auto &asked = service(applicant.service);
    // Ends the hold also when the coroutine is destroyed while it waits.
    struct Registration
    {
        Service &service;
        AdmissionControl::Ticket ticket;
        ~Registration()
        {
            service.waiting.erase(ticket);
            service.control.withdraw(ticket);
        }
    };
    asked.waiting[held.ticket] = &timer;
    const Registration registration{asked, held.ticket};
    auto decision = held;
    while (decision.verdict == AdmissionControl::Verdict::Hold) {
        timer.expires_at(decision.checkAt);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (interrupted()) {
            co_return decision;
        }
        decision = asked.control.check(held.ticket, Clock::now());
    }
    record(applicant, decision, true);
    co_return decision;
}

} // namespace tamarackcove
