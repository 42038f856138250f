#include "tamarackcove/Configuration/QuarantineLedger.h"

#include <utility>

namespace tamarackcove {

QuarantineLedger::QuarantineLedger(Limits limits)
    : m_limits(limits)
{
}

void QuarantineLedger::quarantine(std::uint64_t fingerprint, const CrashId &crash, QuarantineChange &change)
{
    if (!m_contents.quarantined.emplace(fingerprint, crash).second) {
        return;
    }
    m_contents.quarantineOrder.push_back(fingerprint);
    change.quarantined.push_back(fingerprint);
    while (m_contents.quarantined.size() > m_limits.maxQuarantined) {
        const auto oldest = m_contents.quarantineOrder.front();
        m_contents.quarantineOrder.pop_front();
        m_contents.quarantined.erase(oldest);
        change.released.push_back(oldest);
    }
}

QuarantineChange QuarantineLedger::reportCrash(LeaderTime now, const CrashId &crashId,
                                               const std::vector<std::uint64_t> &fingerprints)
{
    QuarantineChange change;
    auto &crash = m_contents.crashes
                      .try_emplace(crashId, Crash{.firstReportedAt = now, .fingerprints = {}, .earlierSuspects = {}})
                      .first->second;
    for (const auto fingerprint : fingerprints) {
        if (!crash.fingerprints.insert(fingerprint).second) {
            continue;
        }
        const auto suspect = m_contents.suspects.find(fingerprint);
        if (suspect == m_contents.suspects.end()) {
            m_contents.suspects.emplace(fingerprint, Suspect{.firstCrash = crashId, .suspectedSince = now});
        } else if (suspect->second.firstCrash != crashId) {
            crash.earlierSuspects.insert(fingerprint);
        }
    }
    if (crash.earlierSuspects.size() == 1) {
        quarantine(*crash.earlierSuspects.begin(), crashId, change);
    } else if (crash.earlierSuspects.size() > 1) {
        for (const auto fingerprint : crash.earlierSuspects) {
            const auto found = m_contents.quarantined.find(fingerprint);
            if (found != m_contents.quarantined.end() && found->second == crashId) {
                m_contents.quarantined.erase(found);
                std::erase(m_contents.quarantineOrder, fingerprint);
                change.released.push_back(fingerprint);
            }
        }
    }
    return change;
}

void QuarantineLedger::clearSuspect(std::uint64_t fingerprint)
{
    m_contents.suspects.erase(fingerprint);
}

void QuarantineLedger::expire(LeaderTime now)
{
    std::erase_if(m_contents.crashes,
                  [&](const auto &entry) { return now - entry.second.firstReportedAt >= m_limits.crashRetention; });
    std::erase_if(m_contents.suspects,
                  [&](const auto &entry) { return now - entry.second.suspectedSince >= m_limits.suspectRetention; });
}

const QuarantineLedger::Contents &QuarantineLedger::contents() const
{
    return m_contents;
}

void QuarantineLedger::restore(Contents contents)
{
    m_contents = std::move(contents);
}

} // namespace tamarackcove
