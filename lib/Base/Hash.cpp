#include "tamarackcove/Base/Hash.h"

#include <xxhash.h>

namespace tamarackcove {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH64(bytes.data(), bytes.size(), seed);
}

} // namespace tamarackcove
