#include "tamarackcove/Consensus/Replica.h"

#include <algorithm>

namespace tamarackcove {

void Replica::recordPeerIdentity(const std::string &name, const ReplicaId &id)
{
    m_peerIdentities[name] = id;
}

void Replica::changeGroup(ReplicaGroup group)
{
    appendLocal({.kind = EntryKind::Group, .group = std::move(group)});
    updateTrackedPeers();
    updateVoterRole();
}

void Replica::updateTrackedPeers()
{
    const auto &group = m_log.group();
    std::erase_if(m_progress, [&](const auto &item) { return group.find(item.first) == nullptr; });
    for (const auto &member : group.members) {
        if (member.id != m_self) {
            m_progress.try_emplace(member.id, ReplicaProgress{.nextIndex = m_log.lastIndex() + 1});
        }
    }
}

void Replica::reconcileGroup(TimePoint now)
{
    if (now >= m_nextCatchUpCheck) {
        for (auto &[id, progress] : m_progress) {
            progress.caughtUp = progress.matchIndex >= m_catchUpIndex;
        }
        m_catchUpIndex = m_commitIndex;
        m_nextCatchUpCheck = now + m_options.catchUpInterval;
    }
    // The next group change waits until the last one is committed: the majorities of two groups are sure to overlap
    // only if the groups differ in one voter.
    if (!leads(now) || m_log.groupIndex() > m_commitIndex || m_transfer) {
        return;
    }
    if (!addNewLearner() && !demoteSurplusVoter(now)) {
        replaceOrPromote(now);
    }
}

bool Replica::isDueForReplacement(const ReplicaId &id, TimePoint now) const
{
    const auto progress = m_progress.find(id);
    return progress != m_progress.end()
        && now >= std::max(m_electedAt, progress->second.answeredSentAt) + m_options.replaceVoterAfter;
}

bool Replica::mayPromote(const ReplicaGroup &group, TimePoint now) const
{
    if (m_options.maxVoters == 0 || group.voterCount() < m_options.maxVoters) {
        return true;
    }
    // A learner is promoted before the lost voter is demoted, so that the number of voters that have the log never
    // decreases.
    return group.voterCount() == m_options.maxVoters
        && std::any_of(group.members.begin(), group.members.end(),
                       [&](const auto &member) { return member.voter && isDueForReplacement(member.id, now); });
}

bool Replica::demoteSurplusVoter(TimePoint now)
{
    const auto &group = m_log.group();
    if (m_options.maxVoters == 0 || group.voterCount() <= m_options.maxVoters) {
        return false;
    }
    // Demotes only a voter that does not answer. A running voter could be the only replica that receives the entry with
    // its demotion. As a learner it would then start no election, and it would not vote for the other replicas, whose
    // logs are behind its own.
    auto changed = group;
    const auto found = std::find_if(changed.members.begin(), changed.members.end(), [&](const auto &member) {
        return member.voter && isDueForReplacement(member.id, now);
    });
    if (found == changed.members.end()) {
        return false;
    }
    found->voter = false;
    if (inSyncVoterCount(changed, now) < changed.majority()) {
        return false;
    }
    changeGroup(std::move(changed));
    return true;
}

bool Replica::addNewLearner()
{
    for (const auto &newPeer : m_peerIdentities) {
        const auto &name = newPeer.first;
        const auto &id = newPeer.second;
        if (m_log.group().find(id) != nullptr) {
            continue;
        }
        auto changed = m_log.group();
        std::erase_if(changed.members, [&](const auto &member) { return member.name == name && !member.voter; });
        changed.members.push_back({.id = id, .name = name, .voter = false});
        changeGroup(std::move(changed));
        return true;
    }
    return false;
}

void Replica::replaceOrPromote(TimePoint now)
{
    for (const auto &learner : m_log.group().members) {
        if (learner.voter || !isInSync(learner.id, now)) {
            continue;
        }
        auto changed = m_log.group();
        if (const auto *replacedVoter = changed.findByName(learner.name, true); replacedVoter != nullptr) {
            // The old identity is removed before the learner is promoted. The old identity does not answer any more, so
            // a majority of the smaller group needs no more running replicas than before. Waiting twice the maximum
            // election timeout makes sure that no running host of the same name is removed.
            const auto progress = m_progress.find(replacedVoter->id);
            if (progress == m_progress.end()
                || now < std::max(m_electedAt, progress->second.answeredSentAt) + 2 * m_options.maxElectionTimeout) {
                continue;
            }
            std::erase_if(changed.members, [id = replacedVoter->id](const auto &member) { return member.id == id; });
        } else if (!mayPromote(changed, now)) {
            continue;
        } else {
            std::find_if(changed.members.begin(), changed.members.end(),
                         [&](const auto &member) { return member.id == learner.id; })
                ->voter
                = true;
        }
        if (inSyncVoterCount(changed, now) >= changed.majority()) {
            changeGroup(std::move(changed));
            return;
        }
    }
}

bool Replica::reachable(const ReplicaId &id, TimePoint now) const
{
    if (id == m_self) {
        return true;
    }
    if (role() != ReplicaRole::Leader) {
        return id == m_leader && now <= m_lastLeaderContact + m_options.maxElectionTimeout;
    }
    const auto progress = m_progress.find(id);
    return progress != m_progress.end() && progress->second.answeredSentAt != TimePoint{}
    && now <= progress->second.answeredSentAt + m_options.maxElectionTimeout;
}

bool Replica::isInSync(const ReplicaId &id, TimePoint now) const
{
    if (id == m_self) {
        return true;
    }
    const auto progress = m_progress.find(id);
    return progress != m_progress.end() && progress->second.caughtUp && reachable(id, now);
}

std::size_t Replica::inSyncVoterCount(const ReplicaGroup &group, TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(group.members.begin(), group.members.end(), [&](const auto &member) {
        return member.voter && isInSync(member.id, now);
    }));
}

LogIndex Replica::matchedIndex(const ReplicaId &id) const
{
    if (id == m_self) {
        return m_persistedIndex;
    }
    const auto progress = m_progress.find(id);
    return progress == m_progress.end() ? 0 : progress->second.matchIndex;
}

int Replica::lossesTolerated(TimePoint now) const
{
    if (role() == ReplicaRole::Leader) {
        const int tolerated
            = static_cast<int>(inSyncVoterCount(m_log.group(), now)) - static_cast<int>(m_log.group().majority());
        // A leader without a valid lease cannot commit, even while its peers still count as reachable.
        return leaseValid(now) ? tolerated : std::min(tolerated, -1);
    }
    const bool leaderSilent = m_leader.empty() || now > m_lastLeaderContact + m_options.maxElectionTimeout;
    return leaderSilent ? -1 : m_leaderLossesTolerated;
}

} // namespace tamarackcove
