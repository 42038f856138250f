#pragma once

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
/// the request for it.
struct StorePermit
{
    double loadsPerSecond = 0;
    int concurrentLoads = 0;
    milliseconds validFor{0};
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
};

} // namespace tamarackcove
