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
    /// The endpoints at which the control hosts accept connections from entries.
    std::vector<Endpoint> hosts;

    /// A control host answers a request of an entry that watches the configuration after this time even if the
    /// configuration has not changed.
    milliseconds watchWait = seconds(2);
    /// Used instead of watchWait while the entry has received a configuration revision that is not in force at the
    /// entry yet, so that the control group learns soon when the revision is in force.
    milliseconds activationWait{250};
    milliseconds connectTimeout = seconds(1);
    /// How long to wait for the answer of a control host before its connection is closed. A call is then sent again, to
    /// another host unless the first host has since reported that it leads.
    milliseconds answerTimeout = seconds(1);
    /// A call fails after this time, including all its attempts.
    milliseconds callTimeout = seconds(3);
    milliseconds firstBackoff{100};
    milliseconds maxBackoff = seconds(1);
    std::uint64_t seed = 1;
};

} // namespace tamarackcove
