#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Control/ControlParts.h"

#include <nlohmann/json.hpp>

namespace tamarackcove {

/// Returns the status of the running system as seen by this control process. `leadershipConfirmed` says whether a
/// read barrier has just confirmed that this process leads and has applied every committed command. Only then does the
/// page include the store budget and the zone reports, which only the leader has. Also removes expired entries from the
/// EntryRegistry.
[[nodiscard]] nlohmann::json statusPage(const ControlParts &parts, TimePoint now, bool leadershipConfirmed);

} // namespace tamarackcove
