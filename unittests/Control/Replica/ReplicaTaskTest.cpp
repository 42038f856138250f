#include "ReplicaGroupFixture.h"

namespace asio = boost::asio;
using namespace tamarackcove;
using namespace tamarackcove::test;

static ReplicaSettings singleReplicaSettings(const TemporaryFolder &folder)
{
    ReplicaSettings settings;
    settings.name = "c1";
    settings.dataFolder = folder.path;
    settings.listen = {"127.0.0.1", 0};
    return settings;
}

TEST_CASE("a group of one elects its leader without peers and keeps its commands over a restart")
{
    const TemporaryFolder folder;
    for (int start = 0; start < 2; ++start) {
        asio::io_context io;
        TestReplica replica(io, singleReplicaSettings(folder));
        const auto body = [&]() -> asio::awaitable<void> {
            co_await eventually([&] { return replica.task.leads(); }, seconds(2));
            CHECK((co_await replica.log.readBarrier()).has_value());
            CHECK(replica.stateMachine.commands.size() == static_cast<std::size_t>(start));
            const auto answer = co_await replica.log.propose("command-" + std::to_string(start));
            REQUIRE(answer.has_value());
            CHECK(answer.value() == "answer to command-" + std::to_string(start));
            CHECK(replica.log.status().lossesTolerated == 0);
        };
        runThenStop(io, body, [&] { return replica.supervisor.stop(); });
    }
}

TEST_CASE("a restart from a snapshot and the log entries after it restores every command once, in order")
{
    const TemporaryFolder folder;
    auto settings = singleReplicaSettings(folder);
    settings.snapshotThreshold = 10;
    for (int start = 0; start < 3; ++start) {
        asio::io_context io;
        TestReplica replica(io, settings);
        const auto body = [&]() -> asio::awaitable<void> {
            co_await eventually([&] { return replica.task.leads(); }, seconds(2));
            CHECK((co_await replica.log.readBarrier()).has_value());
            REQUIRE(replica.stateMachine.commands.size() == static_cast<std::size_t>(start) * 25);
            for (int i = 0; i < 25; ++i) {
                REQUIRE((co_await replica.log.propose(std::to_string(start * 25 + i))).has_value());
            }
        };
        runThenStop(io, body, [&] { return replica.supervisor.stop(); });
        for (std::size_t i = 0; i < replica.stateMachine.commands.size(); ++i) {
            CHECK(replica.stateMachine.commands[i] == std::to_string(i));
        }
    }
}
