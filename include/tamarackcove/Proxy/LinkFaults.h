#pragma once

#include "tamarackcove/Base/Time.h"

#include <cstdint>

namespace tamarackcove {

enum class LinkDirection {
    ToTarget,
    ToCaller,
};

/// What goes wrong on the link of one listen address to its target. The defaults are a sound link.
///
/// Thread safety: a value type.
struct LinkFaults
{
    /// Open connections are reset, and new ones as soon as they are accepted.
    bool cut = false;
    /// Bytes of this direction stay in the proxy; they go on when the fault ends, as after a partition.
    bool holdToTarget = false;
    bool holdToCaller = false;
    /// Connections up to this number are silent for good in both directions.
    std::uint64_t silentUpTo = 0;
    milliseconds delay{0};
    /// Bytes a second in each direction of a connection; 0 is unlimited.
    std::uint64_t bandwidth = 0;

    /// Whether bytes of this connection and direction may pass now.
    [[nodiscard]] bool passes(std::uint64_t connection, LinkDirection direction) const;
    /// How long a part of this many bytes occupies the link.
    [[nodiscard]] Duration occupation(std::size_t bytes) const;
};

} // namespace tamarackcove
