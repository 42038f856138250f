#pragma once

#include <cstdint>

namespace tamarackcove {

/// Bytes and messages between entries, without the headers of TCP and IP.
struct PeerTraffic
{
    std::uint64_t bytesRead = 0;
    std::uint64_t bytesWritten = 0;
    std::uint64_t messagesRead = 0;
    std::uint64_t messagesWritten = 0;
};

} // namespace tamarackcove
