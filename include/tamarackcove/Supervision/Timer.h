#pragma once

#include "tamarackcove/Base/Time.h"

#include <boost/asio/basic_waitable_timer.hpp>

namespace tamarackcove {

/// A timer whose expiry is a time of Clock. Thread safety: used on the thread of its executor.
using Timer = boost::asio::basic_waitable_timer<Clock>;

} // namespace tamarackcove
