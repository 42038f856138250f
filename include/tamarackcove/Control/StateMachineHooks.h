#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace tamarackcove {

/// What the replicated log calls on the state machine that it feeds.
struct StateMachineHooks
{
    /// Applies a committed command and returns its answer. Every replica calls it with the same arguments in the same
    /// order; the time is the leader's wall clock when it appended the command, and never goes back.
    std::function<std::string(std::uint64_t index, std::chrono::system_clock::time_point time,
                              std::string_view command)>
        apply;
    /// The whole state as bytes.
    std::function<std::string()> saveSnapshot;
    /// Replaces the whole state.
    std::function<void(std::string_view snapshot)> loadSnapshot;
};

} // namespace tamarackcove
