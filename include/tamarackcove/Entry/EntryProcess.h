#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Entry/EntrySettings.h"

#include <memory>
#include <string>

namespace tamarackcove {

/// The root of the supervisor tree of `tamarackcove-entry`. Its children serve the callers and the administration port,
/// and hold the connections to the targets, to the entries of the zone and to the control group.
///
/// Thread safety: used on one thread; run() blocks this thread.
class EntryProcess
{
public:
    explicit EntryProcess(EntrySettings settings);
    ~EntryProcess();
    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;

    /// Binds the ports for callers, administration and peers. The error is one line of text for the operator.
    Result<void, std::string> listen();

    /// Serves until SIGTERM or SIGINT, then waits up to EntrySettings::drainTimeout for the requests in progress and
    /// returns the exit code.
    /// Precondition: listen() has succeeded.
    int run();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace tamarackcove
