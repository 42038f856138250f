#pragma once

#include "tamarackcove/Base/Time.h"

namespace tamarackcove {

/// The times that entries and the leader of the control hosts keep to for shares of allowances.
struct AllowanceTimes
{
    /// How long an entry may use its share after the last report that the leader has answered; the leader counts the
    /// share as leased for as long after the last report that it has received. Control groups are without a leader for
    /// up to ten seconds, and entries notice that up to a second later.
    static constexpr seconds Validity{11};
    /// Time after the last answered report at which an entry uses its standalone rate. Reports and answers are sent
    /// five times a second, so that the latest answered report is up to 400 ms old in normal operation.
    static constexpr milliseconds StandaloneDelay{800};
    /// Time without a report after which the leader stops spending the standalone rate of the entry on one-time
    /// leases. Shorter than StandaloneDelay, so that the rate is not used on both sides.
    static constexpr milliseconds SilenceLimit{600};
    /// Time in which an entry recovers its whole overdraft while the leader answers. Several windows of the limit (8
    /// s), so that little more than one overdraft falls into one window.
    static constexpr seconds OverdraftRecovery{30};
    /// Time in which an entry gives up what its bucket holds beyond its burst once the leader answers again. The pool
    /// of a new leader is empty at first.
    static constexpr seconds SurplusTime{2};
};

} // namespace tamarackcove
