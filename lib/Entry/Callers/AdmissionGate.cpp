#include "tamarackcove/Entry/Callers/AdmissionGate.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace asio = boost::asio;

namespace tamarackcove {

/// A queued request; leaves the queue when its task ends before it is admitted.
struct AdmissionGate::Waiting
{
    Waiting(AdmissionGate &owner, Admission::Ticket ownTicket, TimePoint deadline)
        : gate(owner)
        , ticket(ownTicket)
        , timer(owner.m_executor, deadline)
    {
        gate.m_waiting.emplace(ticket, this);
    }
    ~Waiting()
    {
        gate.m_waiting.erase(ticket);
        if (!handedOver) {
            gate.leave(ticket);
        }
    }
    Waiting(const Waiting &) = delete;
    Waiting &operator=(const Waiting &) = delete;

    AdmissionGate &gate;
    Admission::Ticket ticket;
    asio::steady_timer timer;
    bool admitted = false;
    bool displaced = false;
    bool handedOver = false;
};

AdmissionGate::Place::Place(AdmissionGate &gate, Admission::Ticket ticket)
    : m_gate(&gate)
    , m_ticket(ticket)
{
}

AdmissionGate::Place::~Place()
{
    if (m_gate != nullptr) {
        m_gate->leave(m_ticket);
    }
}

AdmissionGate::Place::Place(Place &&other) noexcept
    : m_gate(std::exchange(other.m_gate, nullptr))
    , m_ticket(other.m_ticket)
{
}

AdmissionGate::AdmissionGate(asio::any_io_executor executor, Admission::Options options)
    : m_executor(std::move(executor))
    , m_admission(options)
{
}

asio::awaitable<Result<AdmissionGate::Place, Refusal>> AdmissionGate::enter(const Call &call,
                                                                            CallerWatch::Watched &watched)
{
    Admission::Offer offer;
    offer.service = call.service;
    offer.priority = call.priority;
    offer.sharePercent = call.sharePercent;
    offer.deadline = call.deadline;
    const auto decision = m_admission.offer(offer, Clock::now());
    if (decision.displaced) {
        const auto displaced = m_waiting.find(*decision.displaced);
        if (displaced != m_waiting.end()) {
            displaced->second->displaced = true;
            displaced->second->timer.cancel();
        }
    }
    if (decision.verdict == Admission::Verdict::Admitted) {
        co_return Place(*this, decision.ticket);
    }
    if (decision.verdict == Admission::Verdict::Refused) {
        co_return Refusal{RefusalCode::Overloaded, "this entry has too many requests, retry later",
                          decision.retryAfter};
    }
    Waiting waiting(*this, decision.ticket, call.deadline);
    watched.timer = &waiting.timer;
    boost::system::error_code ignored;
    co_await waiting.timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    watched.timer = nullptr;
    if (waiting.admitted) {
        waiting.handedOver = true;
        co_return Place(*this, decision.ticket);
    }
    if (waiting.displaced) {
        co_return Refusal{RefusalCode::Overloaded, "requests of higher priority took its place, retry later",
                          m_admission.retryAfter()};
    }
    co_return Refusal{RefusalCode::NotRun, "the deadline passed before the request could start",
                      m_admission.retryAfter()};
}

void AdmissionGate::leave(Admission::Ticket ticket)
{
    m_admission.finish(ticket, Clock::now());
    wakeAdmitted();
}

void AdmissionGate::wakeAdmitted()
{
    if (m_admission.queued() == 0) {
        return;
    }
    for (const auto ticket : m_admission.admitNext(Clock::now())) {
        const auto found = m_waiting.find(ticket);
        if (found != m_waiting.end()) {
            found->second->admitted = true;
            found->second->timer.cancel();
        }
    }
}

const Admission &AdmissionGate::admission() const
{
    return m_admission;
}

} // namespace tamarackcove
