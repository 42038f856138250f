#pragma once

#include "tamarackcove/Base/Ids.h"

#include <cstddef>
#include <string>
#include <vector>

namespace tamarackcove {

/// One replica of the group.
struct GroupMember
{
    ReplicaId id;
    /// Host name from the settings. After a disk was replaced, the host has the same name and a new id.
    std::string name;
    /// False for a learner, which receives the log but does not count towards a majority.
    bool voter = false;

    bool operator==(const GroupMember &) const = default;
};

/// Membership of the replicated log.
struct ReplicaGroup
{
    /// Random identifier, drawn when the group is created. Replicas drop messages of another group.
    std::string groupId;
    std::vector<GroupMember> members;

    /// The member with this id, or nullptr.
    [[nodiscard]] const GroupMember *find(const ReplicaId &id) const;
    /// The voter with this name, or the learner if `voter` is false; nullptr if there is none.
    [[nodiscard]] const GroupMember *findByName(const std::string &name, bool voter) const;
    [[nodiscard]] bool isVoter(const ReplicaId &id) const;
    [[nodiscard]] std::size_t voterCount() const;
    /// Number of voters that make a majority.
    [[nodiscard]] std::size_t majority() const;
    [[nodiscard]] bool empty() const;

    bool operator==(const ReplicaGroup &) const = default;
};

} // namespace tamarackcove
