#include "tamarackcove/Entry/Callers/AdmissionGate.h"
#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace asio = boost::asio;

namespace tamarackcove {

/// A queued request; removes itself from the queue if its coroutine ends before it has received a slot.
struct AdmissionGate::QueuedRequest
{
    QueuedRequest(AdmissionGate &owner, Admission::Ticket ownTicket, TimePoint deadline)
        : gate(owner)
        , ticket(ownTicket)
        , timer(owner.m_executor, deadline)
    {
        gate.m_queued.emplace(ticket, this);
    }
    ~QueuedRequest()
    {
        gate.m_queued.erase(ticket);
        if (!slotIssued) {
            gate.finishTicket(ticket);
        }
    }
    QueuedRequest(const QueuedRequest &) = delete;
    QueuedRequest &operator=(const QueuedRequest &) = delete;

    AdmissionGate &gate;
    Admission::Ticket ticket;
    Timer timer;
    bool admitted = false;
    bool displaced = false;
    bool slotIssued = false;
};

AdmissionGate::Slot::Slot(AdmissionGate &gate, Admission::Ticket ticket)
    : m_gate(&gate)
    , m_ticket(ticket)
{
}

AdmissionGate::Slot::~Slot()
{
    if (m_gate != nullptr) {
        m_gate->finishTicket(m_ticket);
    }
}

AdmissionGate::Slot::Slot(Slot &&other) noexcept
    : m_gate(std::exchange(other.m_gate, nullptr))
    , m_ticket(other.m_ticket)
{
}

AdmissionGate::AdmissionGate(asio::any_io_executor executor, Admission::Options options)
    : m_executor(std::move(executor))
    , m_admission(options)
{
}

asio::awaitable<Result<AdmissionGate::Slot, Refusal>> AdmissionGate::acquireSlot(const Call &call,
                                                                                 CallerWatch::WatchedRequest &watched)
{
    Admission::Offer offer;
    offer.service = call.service;
    offer.priority = call.priority;
    offer.sharePercent = call.sharePercent;
    offer.deadline = call.deadline;
    const auto decision = m_admission.offer(offer, Clock::now());
    if (decision.displaced) {
        const auto displaced = m_queued.find(*decision.displaced);
        if (displaced != m_queued.end()) {
            displaced->second->displaced = true;
            displaced->second->timer.cancel();
        }
    }
    if (decision.verdict == Admission::Verdict::Admitted) {
        co_return Slot(*this, decision.ticket);
    }
    if (decision.verdict == Admission::Verdict::Refused) {
        co_return Refusal{RefusalCode::Overloaded, "this entry has too many requests, retry later",
                          decision.retryAfter};
    }
    QueuedRequest queuedRequest(*this, decision.ticket, call.deadline);
    watched.timer = &queuedRequest.timer;
    boost::system::error_code ignored;
    co_await queuedRequest.timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    watched.timer = nullptr;
    if (queuedRequest.admitted) {
        queuedRequest.slotIssued = true;
        co_return Slot(*this, decision.ticket);
    }
    if (queuedRequest.displaced) {
        co_return Refusal{RefusalCode::Overloaded,
                          "a request of higher priority displaced this one from the queue, retry later",
                          m_admission.retryAfter()};
    }
    co_return Refusal{RefusalCode::NotRun, "the deadline passed before the request could start",
                      m_admission.retryAfter()};
}

void AdmissionGate::finishTicket(Admission::Ticket ticket)
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
        const auto found = m_queued.find(ticket);
        if (found != m_queued.end()) {
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
