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

/// Lets the task of a request wait until Admission admits it.
///
/// Thread safety: used on the thread of the executor.
class AdmissionGate
{
public:
    /// The place of an admitted request; frees it when destroyed.
    class Place
    {
    public:
        Place(AdmissionGate &gate, Admission::Ticket ticket);
        ~Place();
        Place(Place &&other) noexcept;
        Place &operator=(Place &&) = delete;

    private:
        AdmissionGate *m_gate;
        Admission::Ticket m_ticket;
    };

    AdmissionGate(boost::asio::any_io_executor executor, Admission::Options options);

    /// Waits until the request is admitted, at most until its deadline or until its caller has gone.
    boost::asio::awaitable<Result<Place, Refusal>> enter(const Call &call, CallerWatch::Watched &watched);

    [[nodiscard]] const Admission &admission() const;

private:
    struct Waiting;

    void leave(Admission::Ticket ticket);
    void wakeAdmitted();

    boost::asio::any_io_executor m_executor;
    Admission m_admission;
    std::map<Admission::Ticket, Waiting *> m_waiting;
};

} // namespace tamarackcove
