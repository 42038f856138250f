#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace tamarackcove {

/// One message between our own processes. The body holds the fields of one typed message; see Codec.h.
struct Message
{
    std::string type;
    nlohmann::json body;
};

} // namespace tamarackcove
