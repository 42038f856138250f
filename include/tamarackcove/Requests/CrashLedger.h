#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace tamarackcove {

/// Finds requests that crash targets, from the requests that were in flight on each crashed target.
///
/// All requests in flight on a crashed target become suspects. From then on a target runs at most one suspect at a
/// time, so that its next crash identifies the suspect. A suspect that is the only one in flight in a second crash is
/// blamed; a suspect that completes is cleared.
///
/// Thread safety: used on one thread.
class CrashLedger
{
public:
    using Fingerprint = std::uint64_t;

    struct Options
    {
        /// A suspect is cleared this long after the last reported crash with the suspect in flight.
        milliseconds suspectLifetime = std::chrono::minutes(10);
        /// Bounds the number of suspects after the loss of many targets; the oldest are removed first.
        std::size_t maxSuspects = 10000;
        /// How long this entry refuses a blamed request before a quarantine by the control group applies. A
        /// configuration change is in force on all entries within 4 s; the rest allows for a leader election.
        milliseconds blameLifetime = seconds(10);
    };

    struct Crash
    {
        /// The distinct requests that were in flight on the target when it crashed. Empty if the crash of this
        /// incarnation was recorded before.
        std::vector<Fingerprint> inFlight;
        /// The suspect among `inFlight` if there was exactly one, else empty.
        std::vector<Fingerprint> blamed;
    };

    explicit CrashLedger(Options options);

    /// Returns the hash that identifies a request by its adapter and body.
    [[nodiscard]] static Fingerprint fingerprint(const AdapterRef &adapter, std::string_view body);

    /// Whether the request may be dispatched to the target now: either the request is no suspect, or no suspect is in
    /// flight on the target.
    [[nodiscard]] bool mayDispatch(Fingerprint fingerprint, const TargetId &target) const;
    /// Records that the request is in flight on the target.
    void noteDispatched(Fingerprint fingerprint, const TargetId &target);
    /// Records that the request is no longer in flight on the target, whatever its outcome.
    /// Precondition: a matching noteDispatched().
    void noteEnded(Fingerprint fingerprint, const TargetId &target);
    /// Records that the request completed without a crash; the request is then no longer a suspect. Returns whether it
    /// was one.
    bool noteCompleted(Fingerprint fingerprint);
    /// Records that this incarnation of the target crashed, and makes the requests in flight on the target suspects.
    /// Reports of the same incarnation after the first have no effect.
    [[nodiscard]] Crash noteCrash(const TargetId &target, Incarnation incarnation, TimePoint now);

    [[nodiscard]] bool isSuspect(Fingerprint fingerprint) const;
    /// Whether this entry blamed the request within the last blameLifetime. After that time, the control group has had
    /// time to decide from the reports of all entries whether to quarantine the request.
    [[nodiscard]] bool isBlamed(Fingerprint fingerprint, TimePoint now) const;
    /// Records a crash that another entry has reported, with the requests that it had in flight there, and makes them
    /// suspects. Blames the request that is a suspect because of another crash, if there is exactly one, so that this
    /// entry refuses it before the control group has decided. Returns the blamed request, if any.
    std::optional<Fingerprint> noteReportedCrash(const TargetId &target, Incarnation incarnation,
                                                 const std::vector<Fingerprint> &fingerprints, TimePoint now);
    /// Removes suspects and blamed requests whose lifetime has ended, and the oldest suspects beyond maxSuspects.
    void expire(TimePoint now);

private:
    /// The last crash with the suspect in flight.
    struct Suspicion
    {
        TimePoint notedAt;
        TargetId target;
        Incarnation incarnation;
    };

    void noteSuspects(const std::vector<Fingerprint> &fingerprints, const Suspicion &suspicion);

    Options m_options;
    /// Number of requests in flight by target and fingerprint.
    std::map<TargetId, std::map<Fingerprint, int>> m_inFlight;
    std::map<Fingerprint, Suspicion> m_suspects;
    std::map<Fingerprint, TimePoint> m_blamed;
    std::map<TargetId, Incarnation> m_lastCrashedIncarnation;
};

} // namespace tamarackcove
