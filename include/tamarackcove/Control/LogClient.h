#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Control/LogError.h"
#include "tamarackcove/Control/LogStatus.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

namespace tamarackcove {

/// How the other parts of a control process use the replicated log.
///
/// Thread safety: called on the thread of the process.
struct LogClient
{
    /// Appends a command and returns what applying it answered, once it is committed and applied here.
    std::function<boost::asio::awaitable<Result<std::string, LogError>>(std::string command)> propose;
    /// Returns once this replica is known to lead and has applied all that was committed before the call.
    std::function<boost::asio::awaitable<Result<void, LogError>>()> readBarrier;
    std::function<LogStatus()> status;
};

} // namespace tamarackcove
