#include "tamarackcove/Control/State/ReplicatedState.h"

#include "tamarackcove/Control/State/CommandCodec.h"
#include "tamarackcove/Control/State/SnapshotCodec.h"
#include "tamarackcove/Observe/LogLine.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <stdexcept>

namespace asio = boost::asio;

namespace tamarackcove {

ReplicatedState::ReplicatedState(asio::any_io_executor executor)
    : m_executor(std::move(executor))
{
}

StateMachineHooks ReplicatedState::hooks()
{
    return {.apply = [this](std::uint64_t /*index*/, std::chrono::system_clock::time_point time,
                            std::string_view command) { return apply(time, command); },
            .saveSnapshot = [this] { return encodeSnapshot(m_state); },
            .loadSnapshot =
                [this](std::string_view snapshot) {
                    const auto loaded = decodeSnapshot(snapshot, m_state);
                    if (loaded.has_error()) {
                        // The checksum of the file was verified, so a snapshot that cannot be decoded was written by
                        // another version.
                        throw std::runtime_error("cannot read the snapshot of the state: " + loaded.error().detail);
                    }
                    wakeWaiters();
                }};
}

const ConfigurationState &ReplicatedState::state() const
{
    return m_state;
}

std::string ReplicatedState::apply(std::chrono::system_clock::time_point time, std::string_view command)
{
    const auto decoded = decodeCommand(command);
    if (decoded.has_error()) {
        // Every replica skips the same command, so the states of the replicas stay equal.
        LogLine(LogLevel::Error, "command_unreadable").add("reason", decoded.error().detail);
        return encodeAnswer(AppliedAnswer{false});
    }
    const auto revisionBefore = m_state.servingConfiguration().revision;
    const auto answer = m_state.apply(time, decoded.value());
    if (m_state.servingConfiguration().revision != revisionBefore) {
        wakeWaiters();
    }
    return encodeAnswer(answer);
}

void ReplicatedState::wakeWaiters()
{
    for (auto *waiter : m_waiters) {
        waiter->cancel();
    }
}

asio::awaitable<void> ReplicatedState::waitForNewer(Revision knownRevision, milliseconds timeout)
{
    // Removes the timer from the set, also when the coroutine is destroyed while it waits.
    struct Registration
    {
        std::set<Timer *> &waiters;
        Timer *waiter;
        ~Registration()
        {
            waiters.erase(waiter);
        }
    };
    const auto deadline = Clock::now() + timeout;
    Timer timer(m_executor);
    while (m_state.servingConfiguration().revision <= knownRevision && Clock::now() < deadline) {
        timer.expires_at(deadline);
        m_waiters.insert(&timer);
        const Registration registration{m_waiters, &timer};
        (void)co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace tamarackcove
