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
    /// The administration endpoints of the control hosts.
    std::vector<Endpoint> control;
    /// The command and its arguments, for example `plan confirm plan-3`.
    std::vector<std::string> words;
    /// The intent file; `-` is standard input.
    std::string file;
    /// Command id, by which control hosts recognise a command that is sent again. If empty, a random id is used.
    std::string commandId;
    /// The revision that a confirmed plan must have been computed against; read from the plan when not given.
    std::optional<std::uint64_t> baseRevision;
    /// Whether answers are printed as JSON.
    bool json = false;
    /// Limit for all attempts at one request together; see ControlApi::Options.
    milliseconds timeout = seconds(15);
};

} // namespace tamarackcove
