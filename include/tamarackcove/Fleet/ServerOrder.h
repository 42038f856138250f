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
    /// The weights of the base model itself if the adapter is empty.
    AdapterKey weights;
    /// 0 for the newest version.
    std::uint64_t version = 0;
    /// The number of orders that the server must have accepted after its start; the server refuses this order if its
    /// count differs. An order that arrives late, after another one was accepted, is therefore refused.
    std::uint64_t expectedAcceptedOrders = 0;
    /// The control host that holds the order duty, the role of the one host that may order servers to load and unload.
    std::string holder;
    /// The fencing number of that holder; the server refuses orders with a lower number than the highest it has
    /// received.
    FencingNumber fence;
};

/// The result of an order.
enum class OrderOutcome {
    /// The server carries out the order.
    Accepted,
    /// The order changed nothing, or was completed at once.
    Done,
    /// Another order is in progress, or the server has accepted another number of orders than expected.
    Conflict,
    /// The server has received a higher fencing number than that of the order, so the order duty has been taken again
    /// since the sender took it.
    Fenced,
    /// Another server, or another start of the server, has the address.
    WrongServer,
    /// The server cannot carry out the order.
    Refused,
    /// No answer: the order may be carried out now, later or never.
    Unknown,
};

} // namespace tamarackcove
