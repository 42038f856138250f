#pragma once

#include <cstdint>
#include <string_view>

namespace tamarackcove {

/// A 64-bit hash that is the same in every process and version, so that entries compute equal values without exchanging
/// messages.
[[nodiscard]] std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

} // namespace tamarackcove
