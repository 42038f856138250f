#include "tamarackcove/Requests/CrashLedger.h"

#include "tamarackcove/Base/Hash.h"

#include <algorithm>
#include <cassert>

namespace tamarackcove {

CrashLedger::CrashLedger(Options options)
    : m_options(options)
{
}

CrashLedger::Fingerprint CrashLedger::fingerprint(const AdapterRef &adapter, std::string_view body)
{
    return hash64(body, hash64(adapter.toString()));
}

bool CrashLedger::mayDispatch(Fingerprint fingerprint, const TargetId &target) const
{
    if (!isSuspect(fingerprint)) {
        return true;
    }
    const auto running = m_inFlight.find(target);
    if (running == m_inFlight.end()) {
        return true;
    }
    return std::none_of(running->second.begin(), running->second.end(),
                        [this](const auto &entry) { return isSuspect(entry.first); });
}

void CrashLedger::noteDispatched(Fingerprint fingerprint, const TargetId &target)
{
    ++m_inFlight[target][fingerprint];
}

void CrashLedger::noteEnded(Fingerprint fingerprint, const TargetId &target)
{
    const auto running = m_inFlight.find(target);
    assert(running != m_inFlight.end() && "noteEnded without noteDispatched");
    const auto entry = running->second.find(fingerprint);
    assert(entry != running->second.end() && "noteEnded without noteDispatched");
    if (--entry->second == 0) {
        running->second.erase(entry);
    }
    if (running->second.empty()) {
        m_inFlight.erase(running);
    }
}

bool CrashLedger::noteCompleted(Fingerprint fingerprint)
{
    return m_suspects.erase(fingerprint) > 0;
}

CrashLedger::Crash CrashLedger::noteCrash(const TargetId &target, Incarnation incarnation, TimePoint now)
{
    Crash crash;
    const auto last = m_lastCrashedIncarnation.find(target);
    if (last != m_lastCrashedIncarnation.end() && last->second == incarnation) {
        return crash;
    }
    m_lastCrashedIncarnation.insert_or_assign(target, incarnation);
    const auto running = m_inFlight.find(target);
    if (running == m_inFlight.end()) {
        return crash;
    }
    for (const auto &[fingerprint, count] : running->second) {
        crash.inFlight.push_back(fingerprint);
        if (isSuspect(fingerprint)) {
            crash.blamed.push_back(fingerprint);
        }
    }
    if (crash.blamed.size() != 1) {
        crash.blamed.clear();
    }
    for (const auto fingerprint : crash.blamed) {
        m_blamed.insert_or_assign(fingerprint, now);
    }
    noteSuspects(crash.inFlight, {.notedAt = now, .target = target, .incarnation = incarnation});
    return crash;
}

std::optional<CrashLedger::Fingerprint> CrashLedger::noteReportedCrash(const TargetId &target, Incarnation incarnation,
                                                                       const std::vector<Fingerprint> &fingerprints,
                                                                       TimePoint now)
{
    std::vector<Fingerprint> inOtherCrashes;
    for (const auto fingerprint : fingerprints) {
        const auto suspect = m_suspects.find(fingerprint);
        if (suspect != m_suspects.end()
            && (suspect->second.target != target || suspect->second.incarnation != incarnation)) {
            inOtherCrashes.push_back(fingerprint);
        }
    }
    noteSuspects(fingerprints, {.notedAt = now, .target = target, .incarnation = incarnation});
    if (inOtherCrashes.size() != 1) {
        return std::nullopt;
    }
    m_blamed.insert_or_assign(inOtherCrashes.front(), now);
    return inOtherCrashes.front();
}

bool CrashLedger::isSuspect(Fingerprint fingerprint) const
{
    return m_suspects.contains(fingerprint);
}

bool CrashLedger::isBlamed(Fingerprint fingerprint, TimePoint now) const
{
    const auto found = m_blamed.find(fingerprint);
    return found != m_blamed.end() && now - found->second <= m_options.blameLifetime;
}

void CrashLedger::noteSuspects(const std::vector<Fingerprint> &fingerprints, const Suspicion &suspicion)
{
    for (const auto fingerprint : fingerprints) {
        m_suspects.insert_or_assign(fingerprint, suspicion);
    }
    expire(suspicion.notedAt);
}

void CrashLedger::expire(TimePoint now)
{
    std::erase_if(m_suspects,
                  [this, now](const auto &entry) { return now - entry.second.notedAt > m_options.suspectLifetime; });
    std::erase_if(m_blamed, [this, now](const auto &entry) { return now - entry.second > m_options.blameLifetime; });
    while (m_suspects.size() > m_options.maxSuspects) {
        m_suspects.erase(
            std::min_element(m_suspects.begin(), m_suspects.end(), [](const auto &left, const auto &right) {
                return left.second.notedAt < right.second.notedAt;
            }));
    }
}

} // namespace tamarackcove
