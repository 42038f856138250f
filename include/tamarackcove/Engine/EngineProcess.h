#pragma once

#include "tamarackcove/Engine/EngineSettings.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>

namespace tamarackcove {

class Supervisor;

/// A simulated engine or plain service: the HTTP interface, the batch task and the announcements, as children of the
/// root supervisor.
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

    /// Listens and starts the children. False when the port cannot be taken.
    bool start();
    /// Announces that this target leaves, and waits until its requests have ended, at most this long.
    boost::asio::awaitable<void> drain(milliseconds timeout);
    [[nodiscard]] std::uint16_t port() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace tamarackcove
