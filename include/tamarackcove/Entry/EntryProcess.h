#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Entry/EntrySettings.h"

#include <memory>
#include <string>

namespace tamarackcove {

/// The root of the supervisor tree of `tamarackcove-entry`: callers, administration, targets, zone and control.
///
/// Thread safety: used on one thread; run() blocks it.
class EntryProcess
{
public:
    explicit EntryProcess(EntrySettings settings);
    ~EntryProcess();
    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;

    /// Binds the ports. The error is one line for the operator.
    Result<void, std::string> listen();

    /// Serves until SIGTERM or SIGINT, then finishes the requests in progress and returns the exit code.
    /// Precondition: listen() has succeeded.
    int run();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace tamarackcove
