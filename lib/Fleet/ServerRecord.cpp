#include "tamarackcove/Fleet/ServerRecord.h"

namespace tamarackcove {

/// Limits beyond any real server.
static constexpr int MaxSlots = 65536;
/// The end of the year 9999 as Unix time in milliseconds.
static constexpr std::uint64_t MaxStartTime = 253402300799999;

std::optional<std::string> ServerHeartbeat::validationError() const
{
    if (identity.startedAt.value() > MaxStartTime) {
        return "the start time " + std::to_string(identity.startedAt.value()) + " ms is after the year 9999";
    }
    if (service.empty()) {
        return "the service has no name";
    }
    if (endpoint.port == 0 || endpoint.host.empty() || endpoint.host == "0.0.0.0" || endpoint.host == "::") {
        return endpoint.toString() + " is not the address and port of one server";
    }
    if (slots < 0 || slots > MaxSlots) {
        return "the number of slots " + std::to_string(slots) + " is not from 0 to " + std::to_string(MaxSlots);
    }
    return std::nullopt;
}

} // namespace tamarackcove
