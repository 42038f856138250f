#include "tamarackcove/Consensus/Replica.h"

#include <algorithm>

namespace tamarackcove {

void Replica::peerSeen(const std::string &name, const ReplicaId &id)
{
    m_seenPeers[name] = id;
}

void Replica::changeGroup(ReplicaGroup group)
{
    appendLocal({.kind = EntryKind::Group, .group = std::move(group)});
    syncProgress();
    updateVoterRole();
}

void Replica::syncProgress()
{
    const auto &group = m_log.group();
    std::erase_if(m_progress, [&](const auto &item) { return group.find(item.first) == nullptr; });
    for (const auto &member : group.members) {
        if (member.id != m_self) {
            m_progress.try_emplace(member.id, ReplicaProgress{.next = m_log.lastIndex() + 1});
        }
    }
}

void Replica::reconcileGroup(TimePoint now)
{
    if (now >= m_nextCatchUpCheck) {
        for (auto &[id, progress] : m_progress) {
            progress.caughtUp = progress.matched >= m_catchUpIndex;
        }
        m_catchUpIndex = m_commitIndex;
        m_nextCatchUpCheck = now + m_options.catchUpInterval;
    }
    // One change at a time: the majorities of two groups that differ in one voter overlap.
    if (!leads(now) || m_log.groupIndex() > m_commitIndex || m_transfer) {
        return;
    }
    if (!joinLearner() && !demoteSurplusVoter(now)) {
        replaceOrPromote(now);
    }
}

bool Replica::lost(const ReplicaId &id, TimePoint now) const
{
    const auto progress = m_progress.find(id);
    return progress != m_progress.end()
        && now >= std::max(m_leadingSince, progress->second.contact) + m_options.replaceVoterAfter;
}

bool Replica::mayPromote(const ReplicaGroup &group, TimePoint now) const
{
    if (m_options.maxVoters == 0 || group.voterCount() < m_options.maxVoters) {
        return true;
    }
    // The learner votes before the lost voter is removed: the group never depends on fewer disks than before.
    return group.voterCount() == m_options.maxVoters
        && std::any_of(group.members.begin(), group.members.end(),
                       [&](const auto &member) { return member.voter && lost(member.id, now); });
}

bool Replica::demoteSurplusVoter(TimePoint now)
{
    const auto &group = m_log.group();
    if (m_options.maxVoters == 0 || group.voterCount() <= m_options.maxVoters) {
        return false;
    }
    // Only a voter that is gone: one that still runs could be the only one to learn that it no longer votes, and would
    // then neither lead nor vote for those whose logs are behind its own.
    auto changed = group;
    const auto found = std::find_if(changed.members.begin(), changed.members.end(),
                                    [&](const auto &member) { return member.voter && lost(member.id, now); });
    if (found == changed.members.end()) {
        return false;
    }
    found->voter = false;
    if (healthyVoters(changed, now) < changed.majority()) {
        return false;
    }
    changeGroup(std::move(changed));
    return true;
}

bool Replica::joinLearner()
{
    for (const auto &seen : m_seenPeers) {
        const auto &name = seen.first;
        const auto &id = seen.second;
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
        if (learner.voter || !healthy(learner.id, now)) {
            continue;
        }
        auto changed = m_log.group();
        if (const auto *old = changed.findName(learner.name, true); old != nullptr) {
            // The old identity goes first: it answers no more, so that the group without it needs no more replicas to
            // decide than the group with it. Twice the timeout excludes a host of the same name that still works.
            const auto progress = m_progress.find(old->id);
            if (progress == m_progress.end()
                || now < std::max(m_leadingSince, progress->second.contact) + 2 * m_options.maxElectionTimeout) {
                continue;
            }
            std::erase_if(changed.members, [id = old->id](const auto &member) { return member.id == id; });
        } else if (!mayPromote(changed, now)) {
            continue;
        } else {
            std::find_if(changed.members.begin(), changed.members.end(),
                         [&](const auto &member) { return member.id == learner.id; })
                ->voter
                = true;
        }
        if (healthyVoters(changed, now) >= changed.majority()) {
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
    return progress != m_progress.end() && progress->second.contact != TimePoint{}
    && now <= progress->second.contact + m_options.maxElectionTimeout;
}

bool Replica::healthy(const ReplicaId &id, TimePoint now) const
{
    if (id == m_self) {
        return true;
    }
    const auto progress = m_progress.find(id);
    return progress != m_progress.end() && progress->second.caughtUp && reachable(id, now);
}

std::size_t Replica::healthyVoters(const ReplicaGroup &group, TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(group.members.begin(), group.members.end(), [&](const auto &member) {
        return member.voter && healthy(member.id, now);
    }));
}

LogIndex Replica::matchedIndex(const ReplicaId &id) const
{
    if (id == m_self) {
        return m_persistedIndex;
    }
    const auto progress = m_progress.find(id);
    return progress == m_progress.end() ? 0 : progress->second.matched;
}

int Replica::lossesTolerated(TimePoint now) const
{
    if (role() == ReplicaRole::Leader) {
        const int tolerated
            = static_cast<int>(healthyVoters(m_log.group(), now)) - static_cast<int>(m_log.group().majority());
        // Without its lease the leader decides nothing, even while its peers do not yet count as unreachable.
        return leaseValid(now) ? tolerated : std::min(tolerated, -1);
    }
    const bool leaderSilent = m_leader.empty() || now > m_lastLeaderContact + m_options.maxElectionTimeout;
    return leaderSilent ? -1 : m_leaderLossesTolerated;
}

} // namespace tamarackcove
