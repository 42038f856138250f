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
    /// No control leader can be reached; the call was certainly not recorded.
    Unavailable,
    /// The call was sent and its answer was lost.
    OutcomeUnknown,
    Refused,
};

struct ControlError
{
    ControlErrorCode code = ControlErrorCode::Unavailable;
    std::string detail;
};

enum class ReservationOutcome {
    /// This entry, and no other, may dispatch the call once.
    Granted,
    /// The call was dispatched before and has a recorded answer.
    Completed,
    /// The call was dispatched before; its outcome is not recorded.
    InDoubt,
    /// The key was used with another request body.
    KeyReused,
};

/// The answer to the reservation of a call that may not be repeated.
struct CallReservation
{
    ReservationOutcome outcome = ReservationOutcome::InDoubt;
    /// The recorded answer, when completed.
    int status = 0;
    std::string contentType;
    std::string body;
};

/// The right to load from the weight store, for the whole zone. Valid until it runs out, counted from the sending of
/// the request for it. The newest permit replaces the one before at once, also when it allows less.
struct StorePermit
{
    double loadsPerSecond = 0;
    int concurrentLoads = 0;
    milliseconds validFor{0};
    /// In a request: loads in progress on all targets of the zone, whoever ordered them.
    int inFlight = 0;
    /// In an answer: the partition quota of the zone; see StoreShare.
    double quotaLoadsPerSecond = 0;
    int quotaConcurrentLoads = 0;
};

/// What a zone coordinator shows on the status page about one target.
struct TargetReport
{
    TargetId target;
    std::string kind;
    std::string health;
    int running = 0;
    int waiting = 0;
    std::vector<AdapterRef> adapters;
};

/// How the other parts of an entry reach the control group.
///
/// Thread safety: called on the thread of the process.
struct ControlCalls
{
    std::function<boost::asio::awaitable<Result<CallReservation, ControlError>>(std::string key, std::uint64_t digest)>
        reserveCall;
    std::function<boost::asio::awaitable<Result<void, ControlError>>(std::string key, int status,
                                                                     std::string contentType, std::string body)>
        completeCall;
    /// Called by the zone coordinator with what it could use.
    std::function<boost::asio::awaitable<Result<StorePermit, ControlError>>(Zone zone, FencingNumber number,
                                                                            StorePermit wanted)>
        requestPermit;
    /// Reports that a target went down with these request fingerprints in flight. Whether one of them was the only
    /// suspect there is decided by the control group.
    std::function<void(TargetId target, Incarnation incarnation, std::vector<std::uint64_t> fingerprints)> reportCrash;
    /// Reports that a suspect completed, which clears it.
    std::function<void(std::uint64_t fingerprint)> reportCleared;
    /// Asks the control group for its vote as the tie breaker of a zone.
    std::function<boost::asio::awaitable<Result<bool, ControlError>>(Zone zone, EntryId candidate, FencingNumber number,
                                                                     milliseconds lease)>
        zoneVote;
    std::function<bool()> connected;
    /// Frees the key of a reserved call that certainly was not dispatched, so that a resend may run.
    std::function<boost::asio::awaitable<Result<void, ControlError>>(std::string key)> releaseCall;
    /// Sends what the coordinator of the zone sees to the status page; every few seconds.
    std::function<void(Zone zone, FencingNumber number, std::vector<TargetReport> targets)> reportZone;
    /// The highest fencing number that the control group is known to have voted for in this zone; a candidate needs a
    /// higher one.
    std::function<FencingNumber()> highestVote;
    /// The partition quota of this zone as last told by the control group; only the quota fields are set.
    std::function<StorePermit()> partitionQuota;
};

} // namespace tamarackcove
