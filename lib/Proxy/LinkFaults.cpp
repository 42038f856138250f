#include "tamarackcove/Proxy/LinkFaults.h"

namespace tamarackcove {

bool LinkFaults::canForward(std::uint64_t connection, LinkDirection direction) const
{
    if (connection <= lastSilencedConnection) {
        return false;
    }
    return direction == LinkDirection::ToTarget ? !holdToTarget : !holdToCaller;
}

Duration LinkFaults::transmissionTime(std::size_t bytes) const
{
    if (bandwidth == 0) {
        return Duration(0);
    }
    const std::chrono::duration<double> time(static_cast<double>(bytes) / static_cast<double>(bandwidth));
    return duration_cast<Duration>(time);
}

} // namespace tamarackcove
