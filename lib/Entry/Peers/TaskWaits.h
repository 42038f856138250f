#pragma once

#include "tamarackcove/Base/Time.h"

#include <boost/asio/awaitable.hpp>

namespace tamarackcove {

/// Waits for the cancellation of the calling task, and lets it wait for other things afterwards: the end of its own
/// children.
boost::asio::awaitable<void> waitUntilCancelled();

/// Waits this long; a cancellation ends the task.
boost::asio::awaitable<void> pause(Duration duration);

} // namespace tamarackcove
