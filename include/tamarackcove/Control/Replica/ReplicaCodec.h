#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Consensus/ReplicaMessage.h"
#include "tamarackcove/Wire/Message.h"
#include "tamarackcove/Wire/WireError.h"

namespace tamarackcove {

/// The first message in each direction of a connection between control peers. The messages after it carry neither
/// sender nor receiver: they go from the one identity to the other.
struct PeerHello
{
    static constexpr std::string_view Type = "peer_hello";
    std::string name;
    std::string identity;
    /// Empty when the replica belongs to no group yet.
    std::string group;
    /// Endpoint of the administration API.
    std::string administration;
    /// Names of the control processes that the sender is connected with.
    std::vector<std::string> connected;
    /// Differs from start to start of the sender.
    std::string boot;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PeerHello, name, identity, group, administration, connected, boot)

/// Encodes everything but sender and receiver. Thread safe.
[[nodiscard]] Message encodeReplicaMessage(const ReplicaMessage &message);

/// Decodes what encodeReplicaMessage() made; sender and receiver stay empty. Thread safe.
[[nodiscard]] Result<ReplicaMessage, WireError> decodeReplicaMessage(const Message &message);

} // namespace tamarackcove
