#pragma once

#include "tamarackcove/Base/Time.h"

#include <cstdint>

namespace tamarackcove {

enum class LinkDirection {
    ToTarget,
    ToCaller,
};

/// The faults that are injected on the link from one listen address to its target. The defaults inject none.
///
/// Thread safety: a value type.
struct LinkFaults
{
    /// The link is down: open connections are reset, and new ones as soon as they are accepted.
    bool linkDown = false;
    /// Bytes sent to the target are held back until the fault ends, as in a network partition.
    bool holdToTarget = false;
    /// Bytes sent to the caller are held back until the fault ends.
    bool holdToCaller = false;
    /// Connections numbered up to and including this one are silenced for their lifetime: no bytes are forwarded in
    /// either direction. 0 silences none.
    std::uint64_t lastSilencedConnection = 0;
    /// Delay that is added between reading bytes and forwarding them.
    milliseconds delay{0};
    /// Bytes per second in each direction of a connection; 0 is unlimited.
    std::uint64_t bandwidth = 0;

    /// Whether bytes of this connection may be forwarded in this direction.
    [[nodiscard]] bool canForward(std::uint64_t connection, LinkDirection direction) const;
    /// Time to send this many bytes at the limited bandwidth.
    [[nodiscard]] Duration transmissionTime(std::size_t bytes) const;
};

} // namespace tamarackcove
