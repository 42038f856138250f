#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Configuration/LeaderTime.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace tamarackcove {

/// The fingerprints that a crash report adds to and removes from the quarantine.
struct QuarantineChange
{
    std::vector<std::uint64_t> quarantined;
    std::vector<std::uint64_t> released;
};

/// Decides which requests, identified by fingerprint, are quarantined because they crash targets.
///
/// All requests in flight on a target that crashes become suspects. If exactly one of the requests in a crash was
/// already a suspect from an earlier crash, it is quarantined. Each entry reports a crash separately. If a later report
/// adds a second earlier suspect to the crash, the quarantine based on this crash is revoked, because either request
/// may be the cause.
///
/// Thread safety: used on one thread.
class QuarantineLedger
{
public:
    /// Identifies a crash by the target and the incarnation that crashed.
    struct CrashId
    {
        TargetId target;
        Incarnation incarnation;

        auto operator<=>(const CrashId &) const = default;
    };
    struct Crash
    {
        /// When the crash was first reported.
        LeaderTime firstReportedAt;
        /// Fingerprints of the requests that were in flight on the target, from the reports of all entries.
        std::set<std::uint64_t> fingerprints;
        /// Those of `fingerprints` that were suspects before this crash.
        std::set<std::uint64_t> earlierSuspects;
    };
    struct Suspect
    {
        CrashId firstCrash;
        /// When a report of the first crash named the fingerprint of this suspect for the first time.
        LeaderTime suspectedSince;
    };
    struct Contents
    {
        std::map<CrashId, Crash> crashes;
        std::map<std::uint64_t, Suspect> suspects;
        /// The quarantined fingerprints, each with the crash that it was quarantined for.
        std::map<std::uint64_t, CrashId> quarantined;
        /// The keys of `quarantined`, oldest first.
        std::deque<std::uint64_t> quarantineOrder;
    };
    struct Limits
    {
        /// How long a crash is kept, counted from its first report. Entries report a crash within seconds; a report
        /// after this period counts as a new crash.
        std::chrono::minutes crashRetention{10};
        std::chrono::hours suspectRetention{24};
        /// When more fingerprints than this are quarantined, the oldest ones are removed from the quarantine.
        std::size_t maxQuarantined = 10000;
    };

    QuarantineLedger() = default;
    explicit QuarantineLedger(Limits limits);

    /// Adds a report of the crash. Returns the resulting changes of the quarantine.
    QuarantineChange reportCrash(LeaderTime now, const CrashId &crash, const std::vector<std::uint64_t> &fingerprints);
    /// Removes a fingerprint from the suspects because its request completed.
    void clearSuspect(std::uint64_t fingerprint);
    /// Removes crashes and suspects whose retention period has passed. Quarantined fingerprints do not expire.
    void expire(LeaderTime now);

    [[nodiscard]] const Contents &contents() const;
    void restore(Contents contents);

private:
    void quarantine(std::uint64_t fingerprint, const CrashId &crash, QuarantineChange &change);

    Limits m_limits;
    Contents m_contents;
};

} // namespace tamarackcove
