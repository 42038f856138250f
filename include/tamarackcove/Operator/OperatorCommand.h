#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tamarackcove {

/// A parsed command line of tamarackcovectl.
struct OperatorCommand
{
    std::vector<Endpoint> control;
    /// For example `plan confirm plan-3`.
    std::vector<std::string> words;
    /// The intent file; `-` is standard input.
    std::string file;
    /// Chosen at random when not given.
    std::string commandId;
    std::optional<std::uint64_t> baseRevision;
    bool json = false;
    milliseconds timeout = seconds(15);
};

} // namespace tamarackcove
