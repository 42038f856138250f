#pragma once

#include <nlohmann/json.hpp>

namespace tamarackcove {

/// Builds the replicated state with this many adapters in this process and measures its memory, its snapshot and the
/// time of a change.
nlohmann::json runStateBench(int adapters);

} // namespace tamarackcove
