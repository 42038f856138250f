#pragma once

#include "../../Storage/TemporaryFolder.h"
#include "../../Supervision/RunThenStop.h"
#include "tamarackcove/Control/Replica/ReplicaTask.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace tamarackcove::test {

/// A state machine that records the applied commands.
struct RecordingStateMachine
{
    std::vector<std::string> commands;

    StateMachineHooks hooks()
    {
        return {.apply =
                    [this](std::uint64_t, std::chrono::system_clock::time_point, std::string_view command) {
                        commands.emplace_back(command);
                        return "answer to " + std::string(command);
                    },
                .saveSnapshot =
                    [this] {
                        std::string bytes;
                        for (const auto &command : commands) {
                            bytes += command + "\n";
                        }
                        return bytes;
                    },
                .loadSnapshot =
                    [this](std::string_view bytes) {
                        commands.clear();
                        while (!bytes.empty()) {
                            const auto end = bytes.find('\n');
                            commands.emplace_back(bytes.substr(0, end));
                            bytes.remove_prefix(end + 1);
                        }
                    }};
    }
};

/// The replica of one control process, without the servers for operators and entries.
struct TestReplica
{
    TestReplica(boost::asio::io_context &io, ReplicaSettings settings, ReplicaTask::Hooks hooks = {})
        : supervisor(io.get_executor(), settings.name)
        , task(supervisor, std::move(settings), stateMachine.hooks(), std::move(hooks))
    {
        const auto opened = task.open();
        REQUIRE_MESSAGE(opened.has_value(), (opened.has_error() ? opened.error().detail : std::string()));
        task.start();
        log = task.client();
    }

    RecordingStateMachine stateMachine;
    Supervisor supervisor;
    ReplicaTask task;
    LogClient log;
};

/// Waits until the condition is true; fails the test after the timeout.
inline boost::asio::awaitable<void> eventually(std::function<bool()> condition, milliseconds timeout = seconds(10))
{
    Timer timer(co_await boost::asio::this_coro::executor);
    const auto deadline = Clock::now() + timeout;
    while (!condition() && Clock::now() < deadline) {
        timer.expires_after(milliseconds(5));
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
    CHECK(condition());
}

} // namespace tamarackcove::test
