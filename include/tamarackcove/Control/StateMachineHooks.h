#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace tamarackcove {

/// The functions of the state machine that the replicated log calls.
struct StateMachineHooks
{
    /// Applies a committed command and returns its answer. Every replica calls this with the same arguments in the same
    /// order. The time is the leader's wall clock when it appended the command; it never decreases from one command to
    /// the next.
    std::function<std::string(std::uint64_t index, std::chrono::system_clock::time_point time,
                              std::string_view command)>
        apply;
    /// Returns the whole state in serialized form.
    std::function<std::string()> saveSnapshot;
    /// Replaces the whole state by one that saveSnapshot returned.
    std::function<void(std::string_view snapshot)> loadSnapshot;
};

} // namespace tamarackcove
