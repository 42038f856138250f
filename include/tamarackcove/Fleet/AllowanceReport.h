#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Fleet/Workspace.h"

#include <cstdint>
#include <vector>

namespace tamarackcove {

/// What an entry tells the leader of the control hosts about the allowances of workspaces.
struct AllowanceReport
{
    /// The use of one allowance since the previous report.
    struct Use
    {
        WorkspaceName workspace;
        /// Number and cost of all requests, including those that were refused.
        std::uint64_t requests = 0;
        double requestedUnits = 0;
        /// The cost of the requests that were let in.
        double usedUnits = 0;
        /// The cost of requests that were let in earlier and have ended without being sent to a server.
        double returnedUnits = 0;
    };
    /// A request for a one-time lease, for one request that is larger than what the share of the entry holds.
    struct LeaseRequest
    {
        WorkspaceName workspace;
        /// Unique at this entry.
        std::uint64_t number = 0;
        double units = 0;
    };
    /// A share that the entry held before it was connected to this leader.
    struct HeldShare
    {
        WorkspaceName workspace;
        double rate = 0;
        double burst = 0;
        double standaloneRate = 0;
        /// LeasedShare::holders.
        std::uint64_t holders = 0;
    };

    /// When the report was made, on the clock of the entry. The leader returns it with its answer, so that shares are
    /// valid from a moment at which the entry was connected, however late the answer arrives.
    TimePoint madeAt;
    /// The highest AllowanceAnswer::number of this leader that the entry has applied.
    std::uint64_t appliedNumber = 0;
    /// Whether this is the first report on a connection to the leader; only then the two fields that follow are set.
    bool isFirst = false;
    /// Time since the entry made the last report that a leader has answered; 0 if none has.
    Duration withoutLeader{0};
    std::vector<HeldShare> held;
    /// Only workspaces with a request since the previous report.
    std::vector<Use> uses;
    std::vector<LeaseRequest> leaseRequests;
};

} // namespace tamarackcove
