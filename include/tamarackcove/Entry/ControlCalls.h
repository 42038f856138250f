#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace tamarackcove {

enum class ControlErrorCode {
    /// No control leader can be reached. The control group has not recorded the call.
    Unavailable,
    /// The call was sent, but its answer was lost: the control group may or may not have recorded the call.
    OutcomeUnknown,
    /// The call was refused; `detail` gives the reason.
    Refused,
};

struct ControlError
{
    ControlErrorCode code = ControlErrorCode::Unavailable;
    std::string detail;
};

enum class ReservationOutcome {
    /// Only this entry may dispatch the call, and only once.
    Granted,
    /// The call was dispatched before and has a recorded answer.
    Completed,
    /// The call was dispatched before; its outcome is not recorded.
    InDoubt,
    /// The idempotency key was used before with a different request body.
    KeyReused,
};

/// The answer of the control group to the reservation of a call that is not repeatable.
struct CallReservation
{
    ReservationOutcome outcome = ReservationOutcome::InDoubt;
    /// The recorded answer; set only when `outcome` is Completed.
    int status = 0;
    std::string contentType;
    std::string body;
};

/// The rate and the concurrency at which all targets of a zone together may load adapters from the weight store. Valid
/// for `validFor`, counted from when the request for the permit was sent. A new permit replaces the previous one at
/// once, even when it allows less.
struct StorePermit
{
    double loadsPerSecond = 0;
    int concurrentLoads = 0;
    milliseconds validFor{0};
    /// In a request: adapter loads in progress on all targets of the zone, no matter which coordinator ordered them.
    int inFlight = 0;
    /// In an answer: the partition quota, which limits the zone while it cannot reach the control group; see
    /// ZoneLoadLimiter.
    double quotaLoadsPerSecond = 0;
    int quotaConcurrentLoads = 0;
};

/// What a zone coordinator reports about one target for the status page.
struct TargetReport
{
    TargetId target;
    std::string kind;
    std::string health;
    int running = 0;
    int waiting = 0;
    std::vector<AdapterRef> adapters;
};

/// The calls that the other parts of an entry make to the control group.
///
/// Thread safety: all functions are called on the thread that runs the entry process.
struct ControlCalls
{
    /// Reserves the idempotency key of a call that is not repeatable, before the call is dispatched.
    std::function<boost::asio::awaitable<Result<CallReservation, ControlError>>(std::string key, std::uint64_t digest)>
        reserveCall;
    /// Records the answer of a call whose key is reserved.
    std::function<boost::asio::awaitable<Result<void, ControlError>>(std::string key, int status,
                                                                     std::string contentType, std::string body)>
        completeCall;
    /// Requests a store permit for the zone; called by the zone coordinator. `wanted` holds the rate and the
    /// concurrency of adapter loads that the zone could use now.
    std::function<boost::asio::awaitable<Result<StorePermit, ControlError>>(Zone zone, FencingNumber number,
                                                                            StorePermit wanted)>
        requestPermit;
    /// Reports that a target went down while requests with these fingerprints were in flight. The control group decides
    /// whether one of them was the only suspect on the target.
    std::function<void(TargetId target, Incarnation incarnation, std::vector<std::uint64_t> fingerprints)> reportCrash;
    /// Reports that a request with this fingerprint completed, so that it is no longer suspected of crashing targets.
    std::function<void(std::uint64_t fingerprint)> reportSuspectCleared;
    /// Asks the control group for its vote as the tie breaker of a zone.
    std::function<boost::asio::awaitable<Result<bool, ControlError>>(Zone zone, EntryId candidate, FencingNumber number,
                                                                     milliseconds lease)>
        requestZoneVote;
    /// Whether a leading control host has reported its status recently.
    std::function<bool()> connected;
    /// Frees the key of a reserved call, so that the caller's retry may run.
    /// Precondition: the call was not dispatched.
    std::function<boost::asio::awaitable<Result<void, ControlError>>(std::string key)> releaseCall;
    /// Sends the coordinator's report about the targets of its zone for the status page; called every few seconds.
    std::function<void(Zone zone, FencingNumber number, std::vector<TargetReport> targets)> reportZone;
    /// The highest fencing number that, as far as this entry knows, the control group has voted for in this zone. A
    /// candidate needs a higher fencing number.
    std::function<FencingNumber()> highestVotedNumber;
    /// The partition quota of this zone, as given in the last message of the control group. Only the quota fields are
    /// set.
    std::function<StorePermit()> partitionQuota;
};

} // namespace tamarackcove
