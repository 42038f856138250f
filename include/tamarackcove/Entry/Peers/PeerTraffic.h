#pragma once

#include <cstdint>

namespace tamarackcove {

/// Bytes and messages exchanged with other entries. TCP and IP headers are not counted.
struct PeerTraffic
{
    std::uint64_t bytesRead = 0;
    std::uint64_t bytesWritten = 0;
    std::uint64_t messagesRead = 0;
    std::uint64_t messagesWritten = 0;
};

} // namespace tamarackcove
