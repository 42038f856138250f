#include "tamarackcove/Consensus/ReplicaGroup.h"

#include <algorithm>

namespace tamarackcove {

const GroupMember *ReplicaGroup::find(const ReplicaId &id) const
{
    const auto found
        = std::find_if(members.begin(), members.end(), [&](const auto &member) { return member.id == id; });
    return found == members.end() ? nullptr : &*found;
}

const GroupMember *ReplicaGroup::findByName(const std::string &name, bool voter) const
{
    const auto found = std::find_if(members.begin(), members.end(),
                                    [&](const auto &member) { return member.name == name && member.voter == voter; });
    return found == members.end() ? nullptr : &*found;
}

bool ReplicaGroup::isVoter(const ReplicaId &id) const
{
    const auto *member = find(id);
    return member != nullptr && member->voter;
}

std::size_t ReplicaGroup::voterCount() const
{
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [](const auto &member) { return member.voter; }));
}

std::size_t ReplicaGroup::majority() const
{
    return voterCount() / 2 + 1;
}

bool ReplicaGroup::empty() const
{
    return members.empty();
}

} // namespace tamarackcove
