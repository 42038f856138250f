#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Configuration/LeaderTime.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace tamarackcove {

/// What a crash report changes in the quarantine.
struct QuarantineChange
{
    std::vector<std::uint64_t> quarantined;
    std::vector<std::uint64_t> released;
};

/// Decides which request fingerprints crash targets.
///
/// All requests in flight on a target that crashed become suspects. A fingerprint that was a suspect before and is the
/// only such one in another crash is quarantined. Entries report the same crash separately; when a later report shows
/// a second earlier suspect in it, a quarantine that rested on this crash is taken back, since either may be the cause.
/// Thread safety: used on one thread.
class QuarantineLedger
{
public:
    /// One run of one target.
    struct CrashId
    {
        TargetId target;
        Incarnation incarnation;

        auto operator<=>(const CrashId &) const = default;
    };
    struct Crash
    {
        LeaderTime at;
        std::set<std::uint64_t> fingerprints;
        /// Those that were suspects before this crash.
        std::set<std::uint64_t> earlierSuspects;
    };
    struct Suspect
    {
        CrashId firstCrash;
        LeaderTime since;
    };
    struct Contents
    {
        std::map<CrashId, Crash> crashes;
        std::map<std::uint64_t, Suspect> suspects;
        /// With the crash each decision rests on.
        std::map<std::uint64_t, CrashId> quarantined;
        std::deque<std::uint64_t> quarantineOrder;
    };
    struct Limits
    {
        /// Entries report a crash within seconds; later reports of it open a new one.
        std::chrono::minutes crashRetention{10};
        std::chrono::hours suspectRetention{24};
        std::size_t maxQuarantined = 10000;
    };

    QuarantineLedger() = default;
    explicit QuarantineLedger(Limits limits);

    QuarantineChange report(LeaderTime now, const CrashId &crash, const std::vector<std::uint64_t> &fingerprints);
    /// Clears a suspect that completed.
    void clear(std::uint64_t fingerprint);
    void expire(LeaderTime now);

    [[nodiscard]] const Contents &contents() const;
    void restore(Contents contents);

private:
    void quarantine(std::uint64_t fingerprint, const CrashId &crash, QuarantineChange &change);

    Limits m_limits;
    Contents m_contents;
};

} // namespace tamarackcove
