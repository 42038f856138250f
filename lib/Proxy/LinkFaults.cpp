#include "tamarackcove/Proxy/LinkFaults.h"

namespace tamarackcove {

bool LinkFaults::passes(std::uint64_t connection, LinkDirection direction) const
{
    if (connection <= silentUpTo) {
        return false;
    }
    return direction == LinkDirection::ToTarget ? !holdToTarget : !holdToCaller;
}

Duration LinkFaults::occupation(std::size_t bytes) const
{
    if (bandwidth == 0) {
        return Duration(0);
    }
    const std::chrono::duration<double> time(static_cast<double>(bytes) / static_cast<double>(bandwidth));
    return duration_cast<Duration>(time);
}

} // namespace tamarackcove
