#pragma once

#include <nlohmann/json.hpp>

namespace tamarackcove {

/// Builds the replicated state with this many adapters in this process. Measures the memory of the state, the size of
/// its snapshot and the time to take it, and the time that a change takes. Throws std::runtime_error when a change is
/// refused.
nlohmann::json runStateBench(int adapters);

} // namespace tamarackcove
