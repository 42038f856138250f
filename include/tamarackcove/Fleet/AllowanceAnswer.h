#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Fleet/LeasedShare.h"
#include "tamarackcove/Fleet/Workspace.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace tamarackcove {

/// What the leader of the control hosts answers to the reports of one entry about allowances. Renews all shares that
/// the entry has.
struct AllowanceAnswer
{
    /// The decision on an AllowanceReport::LeaseRequest.
    struct LeaseDecision
    {
        std::uint64_t number = 0;
        bool granted = false;
    };

    /// Grows with each answer that changes shares.
    std::uint64_t number = 0;
    /// AllowanceReport::madeAt of the latest report of the entry.
    TimePoint reportMadeAt;
    /// The shares that have changed.
    std::vector<std::pair<WorkspaceName, LeasedShare>> shares;
    std::vector<LeaseDecision> decisions;
};

} // namespace tamarackcove
