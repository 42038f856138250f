#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"

#include <cstdint>
#include <vector>

namespace tamarackcove {

/// How an entry reaches the control group.
struct ControlOptions
{
    EntryId self;
    Zone zone;
    /// The framed endpoints of all control hosts.
    std::vector<Endpoint> hosts;

    /// A control host without news answers a watch after this time.
    milliseconds watchWait = seconds(2);
    /// The same while a held revision is not in force yet, so that the control group learns of it soon.
    milliseconds activationWait{250};
    milliseconds connectTimeout = seconds(1);
    /// A control host that takes longer to answer is tried again on a new connection, then another one is tried.
    milliseconds answerTimeout = seconds(1);
    /// A call fails after this time, over all tries.
    milliseconds callTimeout = seconds(3);
    milliseconds firstBackoff{100};
    milliseconds maxBackoff = seconds(1);
    std::uint64_t seed = 1;
};

} // namespace tamarackcove
