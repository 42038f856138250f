#pragma once

#include "tamarackcove/Fleet/EntryAllowances.h"
#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>

namespace tamarackcove {

struct AllowanceAnswerMessage;
struct FleetReportMessage;

/// Lets requests in as far as the allowances of their workspaces permit. Connects the decisions of EntryAllowances with
/// the messages to and from the leader, and holds requests that await a one-time lease.
///
/// Thread safety: used on the thread of the executor.
class WorkspaceAdmission
{
public:
    WorkspaceAdmission();

    [[nodiscard]] EntryAllowances &allowances();
    /// Decides on a request; waits for a one-time lease, EntryAllowances::MaxLeaseWait at most. The timer belongs to
    /// the request; cancelling it ends the wait. Precondition: the workspace has an allowance and outlives the wait.
    boost::asio::awaitable<EntryAllowances::Decision> decide(const Workspace &workspace, double units, Timer &timer);

    /// Applies an answer of the leader and wakes the requests that it has decided on.
    void apply(const AllowanceAnswerMessage &message, TimePoint now);
    /// Adds to a report to the leader what it must know of allowances.
    void addTo(FleetReportMessage &report, TimePoint now);
    /// Called when a request awaits a one-time lease that the leader was not asked for yet.
    std::function<void()> onLeaseRequest;

private:
    EntryAllowances m_allowances;
    /// The timers of requests that wait, by lease.
    std::map<std::uint64_t, Timer *> m_waiters;
};

} // namespace tamarackcove
