#pragma once

#include <string_view>

namespace tamarackcove {

/// Makes this process write one `process_ended` line with the reason to `descriptor` before it ends by an uncaught
/// exception, a failed assertion or a signal that reports a fault in the program. The line is written without the
/// logger, so that none of its limits applies, and waits a bounded time for a slow reader. The process still ends in
/// the same way, with the same exit status. initLogging() and initServiceLogging() call this.
///
/// Precondition: no other thread runs yet.
void reportProcessEnd(std::string_view process, int descriptor);

} // namespace tamarackcove
