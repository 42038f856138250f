#pragma once

#include "tamarackcove/Engine/EngineSettings.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>

namespace tamarackcove {

class Supervisor;

/// A simulated engine, or a simulated plain service (a target without a base model and adapters). Runs the HTTP
/// interface, the batch task and the announcements as children of the root supervisor.
///
/// Thread safety: used on the thread of the supervisor's executor.
class EngineProcess
{
public:
    /// Precondition: the supervisor outlives this object.
    EngineProcess(Supervisor &root, EngineSettings settings);
    ~EngineProcess();
    EngineProcess(const EngineProcess &) = delete;
    EngineProcess &operator=(const EngineProcess &) = delete;

    /// Opens the listening port and starts the children. Returns false if listening fails.
    bool start();
    /// Announces that this target is leaving, waits up to `timeout` for its requests to end, and closes the
    /// connections.
    boost::asio::awaitable<void> drain(milliseconds timeout);
    [[nodiscard]] std::uint16_t port() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace tamarackcove
