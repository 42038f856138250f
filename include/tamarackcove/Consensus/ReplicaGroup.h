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
    /// Host name from the settings. A replaced disk gives the same name a new id.
    std::string name;
    /// A member that is no voter is a learner: it receives the log and counts for no majority.
    bool voter = false;

    bool operator==(const GroupMember &) const = default;
};

/// Who takes part in the replicated log.
struct ReplicaGroup
{
    /// Random; set when the group is formed, so that messages of another group are recognised.
    std::string groupId;
    std::vector<GroupMember> members;

    [[nodiscard]] const GroupMember *find(const ReplicaId &id) const;
    [[nodiscard]] const GroupMember *findName(const std::string &name, bool voter) const;
    [[nodiscard]] bool isVoter(const ReplicaId &id) const;
    [[nodiscard]] std::size_t voterCount() const;
    /// How many voters decide.
    [[nodiscard]] std::size_t majority() const;
    [[nodiscard]] bool empty() const;

    bool operator==(const ReplicaGroup &) const = default;
};

} // namespace tamarackcove
