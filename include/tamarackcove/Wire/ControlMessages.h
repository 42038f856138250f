#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Wire/ChronoJson.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace tamarackcove {

/// An entry asks for configuration changes after the newest revision it holds. The control host answers as soon as
/// it has a newer revision, at the latest after `wait`. The revision in the next watch acknowledges the previous
/// answer.
struct WatchMessage
{
    static constexpr const char *Type = "watch";
    std::string entry;
    std::string zone;
    /// The newest revision that the entry holds.
    std::uint64_t revision = 0;
    /// The revision in force at the entry, which its requests are served by.
    std::uint64_t inForce = 0;
    milliseconds wait{0};
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WatchMessage, entry, zone, revision, inForce, wait)

/// One part of the answer to a watch.
struct ConfigMessage
{
    static constexpr const char *Type = "config";
    /// Whether the answering control host is the leader.
    bool leads = false;
    /// The consensus term known to the answering control host.
    std::uint64_t term = 0;
    /// Whether this is the last part of the answer.
    bool last = true;
    /// The share of the store limits that the entry's zone may use while it is partitioned from the control group.
    double quotaLoadsPerSecond = 0;
    int quotaConcurrentLoads = 0;
    /// See DeltaCodec.h; null when nothing has changed.
    nlohmann::json delta;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigMessage, leads, term, last, quotaLoadsPerSecond, quotaConcurrentLoads, delta)

struct ReserveCallMessage
{
    static constexpr const char *Type = "reserve_call";
    std::string key;
    std::uint64_t digest = 0;
    std::string entry;
    std::string attempt;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReserveCallMessage, key, digest, entry, attempt)

struct ReservationMessage
{
    static constexpr const char *Type = "reservation";
    /// `granted`, `completed`, `in_doubt`, `key_reused` or `full`.
    std::string outcome;
    int status = 0;
    std::string contentType;
    std::string body;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReservationMessage, outcome, status, contentType, body)

struct CompleteCallMessage
{
    static constexpr const char *Type = "complete_call";
    std::string key;
    std::string entry;
    int status = 0;
    std::string contentType;
    std::string body;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CompleteCallMessage, key, entry, status, contentType, body)

struct ReleaseCallMessage
{
    static constexpr const char *Type = "release_call";
    std::string key;
    std::string entry;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReleaseCallMessage, key, entry)

struct CrashReportMessage
{
    static constexpr const char *Type = "crash_report";
    std::string target;
    std::uint64_t incarnation = 0;
    std::vector<std::uint64_t> fingerprints;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CrashReportMessage, target, incarnation, fingerprints)

struct CrashClearedMessage
{
    static constexpr const char *Type = "crash_cleared";
    std::uint64_t fingerprint = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CrashClearedMessage, fingerprint)

struct DoneMessage
{
    static constexpr const char *Type = "done";
    bool done = true;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DoneMessage, done)

/// The answer to a call that the control host did not carry out, or whose outcome it does not know.
struct RefusedMessage
{
    static constexpr const char *Type = "refused";
    /// `not_leader` and `unavailable`: the call has certainly had no effect. `outcome_unknown`: the call may have taken
    /// effect. `refused`: the call was rejected.
    std::string code;
    std::string detail;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RefusedMessage, code, detail)

struct PermitRequestMessage
{
    static constexpr const char *Type = "permit_request";
    std::string zone;
    std::uint64_t fencing = 0;
    double loadsPerSecond = 0;
    int concurrentLoads = 0;
    /// The limits of the unexpired permit that the zone holds.
    double heldLoadsPerSecond = 0;
    int heldConcurrentLoads = 0;
    int inFlight = 0;
    /// The stamp of the newest permit that the zone has received; both parts are 0 before the first permit.
    std::uint64_t stampTerm = 0;
    std::uint64_t stampNumber = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PermitRequestMessage, zone, fencing, loadsPerSecond, concurrentLoads,
                                   heldLoadsPerSecond, heldConcurrentLoads, inFlight, stampTerm, stampNumber)

struct PermitMessage
{
    static constexpr const char *Type = "permit";
    double loadsPerSecond = 0;
    int concurrentLoads = 0;
    milliseconds validFor{0};
    std::uint64_t stampTerm = 0;
    std::uint64_t stampNumber = 0;
    double quotaLoadsPerSecond = 0;
    int quotaConcurrentLoads = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PermitMessage, loadsPerSecond, concurrentLoads, validFor, stampTerm, stampNumber,
                                   quotaLoadsPerSecond, quotaConcurrentLoads)

struct ZoneVoteMessage
{
    static constexpr const char *Type = "zone_vote";
    std::string zone;
    std::string candidate;
    std::uint64_t fencing = 0;
    milliseconds lease{0};
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ZoneVoteMessage, zone, candidate, fencing, lease)

struct ZoneVoteAnswerMessage
{
    static constexpr const char *Type = "zone_vote_answer";
    bool granted = false;
    /// The highest fencing number that the control group has voted for in this zone.
    std::uint64_t highest = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ZoneVoteAnswerMessage, granted, highest)

/// The state of a zone as its coordinator knows it, for the status page.
struct ZoneReportMessage
{
    static constexpr const char *Type = "zone_report";
    std::string zone;
    std::string coordinator;
    std::uint64_t fencing = 0;
    /// `[{id, kind, health, running, waiting, adapters:[names]}]`
    nlohmann::json targets;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ZoneReportMessage, zone, coordinator, fencing, targets)

} // namespace tamarackcove
