#pragma once

#include "tamarackcove/Base/Time.h"

#include <boost/asio/awaitable.hpp>

namespace tamarackcove {

/// Waits until the calling task is cancelled, and then resets its cancellation state. The task can go on to wait, for
/// example for the end of its children.
boost::asio::awaitable<void> waitUntilCancelled();

/// Waits for `duration`. A cancellation ends the wait with an exception.
boost::asio::awaitable<void> pause(Duration duration);

} // namespace tamarackcove
