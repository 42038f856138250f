#pragma once

#include <string_view>

namespace tamarackcove {

/// Why a server was chosen for a request among those that could take it.
enum class ChoiceReason {
    /// Few entries are connected: the least loaded server.
    LeastLoaded,
    /// At random among the servers of the own zone.
    OwnZone,
    /// At random among the servers of all zones, because those of the own zone are expected to answer later or cannot
    /// take the request; one in another zone was drawn.
    OtherZone,
    /// At random among the servers of all zones, because the report of their load is old.
    StaleReport,
};

/// The reason as a word for metrics and logs.
[[nodiscard]] constexpr std::string_view choiceReasonName(ChoiceReason reason)
{
    switch (reason) {
    case ChoiceReason::LeastLoaded:
        return "least_loaded";
    case ChoiceReason::OwnZone:
        return "own_zone";
    case ChoiceReason::OtherZone:
        return "other_zone";
    case ChoiceReason::StaleReport:
        return "stale_report";
    }
    return "unknown";
}

} // namespace tamarackcove
