#pragma once

#include <optional>
#include <string_view>

namespace tamarackcove {

/// Scheduling priority of a request. Under load, requests of a higher priority are served first.
enum class Priority {
    Low = 0,
    Normal = 1,
    High = 2,
};

[[nodiscard]] std::string_view toString(Priority priority);
[[nodiscard]] std::optional<Priority> parsePriority(std::string_view text);

} // namespace tamarackcove
