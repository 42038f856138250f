#pragma once

#include "tamarackcove/Fleet/ServerRecord.h"

#include <cstdint>
#include <optional>
#include <string>

namespace tamarackcove {

/// An order to a server to load or unload weights.
struct ServerOrder
{
    enum class Action {
        Load,
        Unload,
    };
    Action action = Action::Load;
    ServerIdentity server;
    Endpoint endpoint;
    /// An empty adapter means the model itself.
    AdapterKey weights;
    /// 0 means the newest.
    std::uint64_t version = 0;
    /// The order is refused when the server has accepted another number of orders; so an order that is carried out late
    /// does no harm.
    std::uint64_t expectedOrders = 0;
    std::string holder;
    FencingNumber fence;
};

/// What became of an order.
enum class OrderOutcome {
    /// It is being carried out.
    Accepted,
    /// What it asks for holds already, or was done at once.
    Done,
    /// Another order is in progress, or the server has accepted other orders than expected.
    Conflict,
    /// A higher fencing number was seen.
    Fenced,
    /// Another start of the server, or another server, has the address.
    WrongServer,
    /// The server refuses it as impossible.
    Refused,
    /// No answer; it may be carried out now, later or never.
    Unknown,
};

} // namespace tamarackcove
