#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Fleet/AdmissionControl.h"
#include "tamarackcove/Fleet/CallerBudget.h"
#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <string>

namespace tamarackcove {

class FleetView;
class Metrics;

/// Holds the requests that AdmissionControl holds: one control for each service, and the timers of the requests that
/// wait. Counts and logs the decisions.
///
/// Thread safety: used on the thread of the executor.
class ServiceAdmission
{
public:
    /// Precondition: the view and the metrics outlive this object.
    ServiceAdmission(FleetView &view, Metrics &metrics, bool enabled);

    /// A request that asks to be sent.
    struct Applicant
    {
        std::string_view attemptId;
        ServiceName service;
        AdmissionControl::Request request;
    };

    /// Whether the settings ask for admission control. Otherwise every request is sent at once.
    [[nodiscard]] bool enabled() const;
    /// Passes the loads of the last report on to all services. Called for each report of the leader.
    void recordLoads(TimePoint now);
    void recordAnswer(const ServiceName &service, const AdmissionControl::Request &request, Duration serviceTime,
                      Duration answerTime);
    /// How long ago the caller of a request of this route first sent it.
    [[nodiscard]] milliseconds timeSinceFirstAttempt(const std::string &route, milliseconds timeLeft, TimePoint now);
    /// Whether requests of the service are limited at present.
    [[nodiscard]] bool limits(const ServiceName &service) const;
    [[nodiscard]] bool missesGoal(const Applicant &applicant, TimePoint now) const;

    /// The decision on a request that has arrived.
    [[nodiscard]] AdmissionControl::Decision offer(const Applicant &applicant, TimePoint now);
    /// Waits until a held request may be sent or is refused, or until `interrupted` holds after the timer, which
    /// belongs to the request, was cancelled; the request is then no longer held, and the decision is to hold it.
    boost::asio::awaitable<AdmissionControl::Decision> awaitRoom(Applicant applicant, AdmissionControl::Decision held,
                                                                 Timer &timer, std::function<bool()> interrupted);

private:
    struct Service
    {
        explicit Service(std::uint64_t seed);

        AdmissionControl control;
        /// The timers of the held requests.
        std::map<AdmissionControl::Ticket, Timer *> waiting;
        bool limited = false;
        TimePoint loggedAt;
    };

    [[nodiscard]] Service &service(const ServiceName &name);
    /// Sets the gauges of the service, and logs the inputs of its control when it begins or ends to limit requests, and
    /// once a second in between.
    void noteState(const ServiceName &name, Service &service, TimePoint now);
    /// Counts a decision; logs it if it is a refusal.
    void record(const Applicant &applicant, const AdmissionControl::Decision &decision, bool waited);

    FleetView &m_view;
    Metrics &m_metrics;
    bool m_enabled;
    std::map<ServiceName, Service> m_services;
    std::map<std::string, CallerBudget> m_callerBudgets;
};

} // namespace tamarackcove
