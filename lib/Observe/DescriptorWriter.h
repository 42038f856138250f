#pragma once

#include "tamarackcove/Base/Time.h"

#include <string_view>

namespace tamarackcove {

/// How long the last line of a process waits for a reader that does not accept it.
inline constexpr milliseconds FinalLineTimeout{500};

/// Writes the bytes to the descriptor in one call, without blocking for longer than the timeout. Returns false when the
/// descriptor did not become writable in time or did not accept all bytes. May be called in a signal handler.
/// Precondition: at most PIPE_BUF bytes, so that the call does not block once the descriptor is writable.
[[nodiscard]] bool writeWithin(int descriptor, std::string_view bytes, milliseconds timeout) noexcept;

} // namespace tamarackcove
