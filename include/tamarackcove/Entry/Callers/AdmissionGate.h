#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Http/CallerWatch.h"
#include "tamarackcove/Requests/Admission.h"
#include "tamarackcove/Requests/Call.h"
#include "tamarackcove/Requests/Refusal.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <optional>

namespace tamarackcove {

/// Suspends the coroutine of a request until Admission admits the request.
///
/// Thread safety: used on the thread of the executor.
class AdmissionGate
{
public:
    /// The admission slot of one request; releases the slot on destruction.
    class Slot
    {
    public:
        Slot(AdmissionGate &gate, Admission::Ticket ticket);
        ~Slot();
        Slot(Slot &&other) noexcept;
        Slot &operator=(Slot &&) = delete;

    private:
        AdmissionGate *m_gate;
        Admission::Ticket m_ticket;
    };

    AdmissionGate(boost::asio::any_io_executor executor, Admission::Options options);

    /// Waits until the call is admitted. Returns a refusal if the call is refused or displaced, or if its deadline
    /// passes or its caller disconnects first.
    boost::asio::awaitable<Result<Slot, Refusal>> acquireSlot(const Call &call, CallerWatch::WatchedRequest &watched);

    [[nodiscard]] const Admission &admission() const;

private:
    struct QueuedRequest;

    /// Removes an admitted or queued request from Admission and wakes the requests that are admitted in its place.
    void finishTicket(Admission::Ticket ticket);
    void wakeAdmitted();

    boost::asio::any_io_executor m_executor;
    Admission m_admission;
    std::map<Admission::Ticket, QueuedRequest *> m_queued;
};

} // namespace tamarackcove
