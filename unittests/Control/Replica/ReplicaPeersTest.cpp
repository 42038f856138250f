#include "ReplicaGroupFixture.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>

namespace asio = boost::asio;
using namespace tamarackcove;
using namespace tamarackcove::test;

/// Three control processes on one thread, connected over loopback.
struct Trio
{
    Trio()
    {
        // Ports must be known before the start: each is taken from the kernel and given back.
        for (auto &port : ports) {
            asio::ip::tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
            port = acceptor.local_endpoint().port();
        }
        for (int i = 0; i < 3; ++i) {
            start(i);
        }
    }

    void start(int index)
    {
        ReplicaSettings settings;
        settings.name = "c" + std::to_string(index);
        settings.dataFolder = folder.path / settings.name;
        settings.listen = {"127.0.0.1", ports[static_cast<std::size_t>(index)]};
        settings.administration = {"127.0.0.1", static_cast<std::uint16_t>(9000 + index)};
        settings.snapshotEvery = 50;
        for (int other = 0; other < 3; ++other) {
            if (other != index) {
                settings.peers.push_back(
                    {"c" + std::to_string(other), {"127.0.0.1", ports[static_cast<std::size_t>(other)]}});
            }
        }
        replicas[static_cast<std::size_t>(index)] = std::make_unique<TestReplica>(io, std::move(settings));
    }

    asio::awaitable<void> stop(int index)
    {
        auto &replica = replicas[static_cast<std::size_t>(index)];
        if (replica) {
            co_await replica->supervisor.stop();
            replica.reset();
        }
    }

    asio::awaitable<void> stopAll()
    {
        for (int i = 0; i < 3; ++i) {
            co_await stop(i);
        }
    }

    [[nodiscard]] int leader() const
    {
        const auto found = std::find_if(replicas.begin(), replicas.end(),
                                        [](const auto &replica) { return replica && replica->task.leads(); });
        return found == replicas.end() ? -1 : static_cast<int>(found - replicas.begin());
    }

    TestReplica &at(int index)
    {
        return *replicas[static_cast<std::size_t>(index)];
    }

    asio::awaitable<void> proposeMany(int count)
    {
        co_await eventually([this] { return leader() >= 0; });
        for (int i = 0; i < count; ++i) {
            REQUIRE((co_await at(leader()).log.propose("command-" + std::to_string(next++))).has_value());
        }
    }

    [[nodiscard]] bool allHold(std::size_t count) const
    {
        return std::all_of(replicas.begin(), replicas.end(), [count](const auto &replica) {
            return !replica || replica->machine.commands.size() == count;
        });
    }

    asio::io_context io;
    TemporaryFolder folder;
    std::array<std::uint16_t, 3> ports{};
    std::array<std::unique_ptr<TestReplica>, 3> replicas;
    int next = 0;
};

TEST_CASE("three processes form a group, and go on after the leader is lost and returns")
{
    Trio trio;
    run(trio.io, [&]() -> asio::awaitable<void> {
        co_await trio.proposeMany(10);
        co_await eventually([&] { return trio.allHold(10); });
        const auto lost = trio.leader();
        co_await eventually([&] { return trio.at(lost).log.status().lossesTolerated == 1; });
        const auto follower = (lost + 1) % 3;
        const auto refused = co_await trio.at(follower).log.propose("to a follower");
        REQUIRE(refused.has_error());
        CHECK(refused.error().code == LogErrorCode::NotLeader);
        CHECK(refused.error().leader == Endpoint{"127.0.0.1", static_cast<std::uint16_t>(9000 + lost)});

        co_await trio.stop(lost);
        co_await trio.proposeMany(10);
        CHECK(trio.at(trio.leader()).log.status().lossesTolerated == 0);
        trio.start(lost);
        co_await eventually([&] { return trio.allHold(20); });
        co_await eventually([&] { return trio.at(trio.leader()).log.status().lossesTolerated == 1; });
        co_await trio.stopAll();
    });
}

TEST_CASE("a process whose disk was emptied joins under a new identity and becomes a voter again")
{
    Trio trio;
    run(trio.io, [&]() -> asio::awaitable<void> {
        co_await trio.proposeMany(120);
        const auto lost = (trio.leader() + 1) % 3;
        const auto before = trio.at(lost).log.status().self;
        co_await trio.stop(lost);
        std::filesystem::remove_all(trio.folder.path / ("c" + std::to_string(lost)));
        trio.start(lost);
        CHECK(trio.at(lost).log.status().self != before);
        co_await eventually([&] {
            if (trio.leader() < 0) {
                return false;
            }
            const auto status = trio.at(trio.leader()).log.status();
            const bool replaced
                = std::none_of(status.replicas.begin(), status.replicas.end(),
                               [&](const auto &replica) { return replica.id == before || !replica.voter; });
            return replaced && status.replicas.size() == 3 && status.lossesTolerated == 1 && trio.allHold(120);
        });
        co_await trio.stopAll();
    });
}

TEST_CASE("a leader that shuts down hands over, and without a majority the error says so")
{
    Trio trio;
    run(trio.io, [&]() -> asio::awaitable<void> {
        co_await trio.proposeMany(1);
        const auto first = trio.leader();
        co_await eventually([&] { return trio.at(first).log.status().lossesTolerated == 1; });
        CHECK(co_await trio.at(first).task.transferLeadership(seconds(2)));
        co_await eventually([&] { return trio.leader() >= 0 && trio.leader() != first; });

        const auto last = trio.leader();
        co_await trio.stop((last + 1) % 3);
        co_await trio.stop((last + 2) % 3);
        co_await eventually([&] { return !trio.at(last).task.leads(); }, seconds(2));
        const auto refused = co_await trio.at(last).log.propose("without a majority");
        REQUIRE(refused.has_error());
        CHECK(refused.error().code == LogErrorCode::Unavailable);
        CHECK(refused.error().detail.find("majority") != std::string::npos);
        CHECK(trio.at(last).log.status().lossesTolerated < 0);
        co_await trio.stopAll();
    });
}
