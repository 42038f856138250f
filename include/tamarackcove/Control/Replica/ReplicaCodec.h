#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Consensus/ReplicaMessage.h"
#include "tamarackcove/Wire/Message.h"
#include "tamarackcove/Wire/WireError.h"

namespace tamarackcove {

/// The first message in each direction of a connection between control peers. Later messages carry neither sender nor
/// receiver, because the two hellos identify both.
struct PeerHello
{
    static constexpr std::string_view Type = "peer_hello";
    std::string name;
    /// Replica id of the sender, stored in its data folder.
    std::string identity;
    /// Id of the sender's group; "joining" when the sender has taken part in an election but holds no group yet. Empty
    /// when the sender has never taken part in a group or an election.
    std::string group;
    /// Endpoint of the sender's administration API.
    std::string administration;
    /// Names of the control processes that the sender is connected with.
    std::vector<std::string> connected;
    /// Identifies the start of the sender's process; a new value means that the process has restarted.
    std::string boot;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PeerHello, name, identity, group, administration, connected, boot)

/// Encodes a message without its sender and receiver. Thread safe.
[[nodiscard]] Message encodeReplicaMessage(const ReplicaMessage &message);

/// Decodes the result of encodeReplicaMessage(); sender and receiver stay empty. Thread safe.
[[nodiscard]] Result<ReplicaMessage, WireError> decodeReplicaMessage(const Message &message);

} // namespace tamarackcove
