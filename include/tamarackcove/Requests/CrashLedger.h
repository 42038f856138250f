#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace tamarackcove {

/// Remembers which requests were in flight on a target that went down, so that the one that crashes targets is found.
///
/// All requests in flight on a crashed target become suspects. A target runs one suspect at a time, so that the next
/// crash names one. A suspect that is the only one in a second crash is blamed; one that completes is cleared.
/// Thread safety: used on one thread.
class CrashLedger
{
public:
    using Fingerprint = std::uint64_t;

    struct Options
    {
        /// A suspect that is not seen again for so long is forgotten.
        milliseconds suspectLifetime = std::chrono::minutes(10);
        /// Bounds the memory of suspects after the loss of many targets; the oldest are forgotten first.
        std::size_t maxSuspects = 10000;
        /// A configuration change is in effect everywhere within 4 s; this leaves room for a leader election.
        milliseconds blameLifetime = seconds(10);
    };

    struct Crash
    {
        /// Every request in flight, each once. Empty when the crash of this incarnation was noted before.
        std::vector<Fingerprint> inFlight;
        /// The only suspect among them, if there was exactly one.
        std::vector<Fingerprint> blamed;
    };

    explicit CrashLedger(Options options);

    [[nodiscard]] static Fingerprint fingerprint(const AdapterRef &adapter, std::string_view body);

    /// Whether the request may go to the target now: it is no suspect, or no other suspect runs there.
    [[nodiscard]] bool mayDispatch(Fingerprint fingerprint, const TargetId &target) const;
    void noteDispatched(Fingerprint fingerprint, const TargetId &target);
    /// The request left the target, however it ended. Precondition: a matching noteDispatched().
    void noteEnded(Fingerprint fingerprint, const TargetId &target);
    /// The request ran to its end without a crash. Returns whether it was a suspect.
    bool noteCompleted(Fingerprint fingerprint);
    /// The target of this incarnation went down.
    [[nodiscard]] Crash noteCrash(const TargetId &target, Incarnation incarnation, TimePoint now);

    [[nodiscard]] bool isSuspect(Fingerprint fingerprint) const;
    /// Blamed here, until the control group has had time to decide on it with the reports of all entries.
    [[nodiscard]] bool isBlamed(Fingerprint fingerprint, TimePoint now) const;
    /// Notes suspects that another entry reported.
    void noteSuspects(const std::vector<Fingerprint> &fingerprints, TimePoint now);
    void expire(TimePoint now);

private:
    Options m_options;
    std::map<TargetId, std::map<Fingerprint, int>> m_inFlight;
    std::map<Fingerprint, TimePoint> m_suspects;
    std::map<Fingerprint, TimePoint> m_blamed;
    std::map<TargetId, Incarnation> m_lastCrash;
};

} // namespace tamarackcove
