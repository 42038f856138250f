#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Control/LogError.h"
#include "tamarackcove/Control/LogStatus.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

namespace tamarackcove {

/// The interface of the replicated log to the other parts of a control process.
///
/// Thread safety: called on the thread of the process.
struct LogClient
{
    /// Appends a command to the log. Once the command is committed and applied on this replica, returns the answer of
    /// the state machine.
    std::function<boost::asio::awaitable<Result<std::string, LogError>>(std::string command)> propose;
    /// Returns once this replica is confirmed to lead, by its lease or by a majority, and has applied every entry that
    /// was committed before the call, so that a read of its state is linearizable.
    std::function<boost::asio::awaitable<Result<void, LogError>>()> readBarrier;
    std::function<LogStatus()> status;
};

} // namespace tamarackcove
