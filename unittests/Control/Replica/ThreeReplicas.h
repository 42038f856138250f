#pragma once

#include "ReplicaGroupFixture.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <vector>

namespace tamarackcove::test {

/// Three control processes on one thread, connected over loopback.
struct ThreeReplicas
{
    /// `adjustSettings` is applied to the settings of each process; `filesOfReplica` makes the system calls of each.
    explicit ThreeReplicas(std::function<void(ReplicaSettings &)> adjustSettings = {},
                           std::function<FileHooks(int)> filesOfReplica = {})
        : adjust(std::move(adjustSettings))
        , filesOf(std::move(filesOfReplica))
    {
        // The settings of each process name the ports of the others, so the ports must be known before the first start.
        // The kernel chooses each port, and gives it to nobody else while a socket that does not listen is bound to it.
        for (std::size_t i = 0; i < ports.size(); ++i) {
            auto &reservation = reservations.emplace_back(io, boost::asio::ip::tcp::v4());
            reservation.set_option(boost::asio::socket_base::reuse_address(true));
            reservation.bind({boost::asio::ip::address_v4::loopback(), 0});
            ports[i] = reservation.local_endpoint().port();
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
        settings.snapshotThreshold = 50;
        for (int other = 0; other < 3; ++other) {
            if (other != index) {
                settings.peers.push_back(
                    {"c" + std::to_string(other), {"127.0.0.1", ports[static_cast<std::size_t>(other)]}});
            }
        }
        if (adjust) {
            adjust(settings);
        }
        ReplicaTask::Hooks hooks;
        hooks.onLeadershipChange = [this, index](Leadership leadership) {
            leaderships[static_cast<std::size_t>(index)].push_back(leadership);
        };
        if (filesOf) {
            hooks.files = filesOf(index);
        }
        hooks.allowsTraffic = [this, index](const std::string &) {
            return index != cutOff;
        };
        replicas[static_cast<std::size_t>(index)]
            = std::make_unique<TestReplica>(io, std::move(settings), std::move(hooks));
    }

    boost::asio::awaitable<void> stop(int index)
    {
        auto &replica = replicas[static_cast<std::size_t>(index)];
        if (replica) {
            co_await replica->supervisor.stop();
            replica.reset();
        }
    }

    boost::asio::awaitable<void> stopAll()
    {
        for (int i = 0; i < 3; ++i) {
            co_await stop(i);
        }
    }

    /// Runs the body and then stops all processes, also if the body throws. Rethrows the exception of the body.
    void run(const std::function<boost::asio::awaitable<void>()> &body)
    {
        runThenStop(io, body, [this] { return stopAll(); });
    }

    [[nodiscard]] int leader() const
    {
        const auto found = std::find_if(replicas.begin(), replicas.end(),
                                        [](const auto &replica) { return replica && replica->task.leads(); });
        return found == replicas.end() ? -1 : static_cast<int>(found - replicas.begin());
    }

    /// Waits until a process leads and returns its index.
    boost::asio::awaitable<int> waitForLeader()
    {
        co_await eventually([this] { return leader() >= 0; });
        const auto index = leader();
        REQUIRE(index >= 0);
        co_return index;
    }

    /// The number of process losses that the leader tolerates; std::nullopt while there is no leader.
    [[nodiscard]] std::optional<int> lossesTolerated() const
    {
        const auto index = leader();
        return index < 0 ? std::nullopt
                         : std::optional(replicas[static_cast<std::size_t>(index)]->log.status().lossesTolerated);
    }

    TestReplica &at(int index)
    {
        REQUIRE(index >= 0);
        return *replicas[static_cast<std::size_t>(index)];
    }

    boost::asio::awaitable<void> proposeMany(int count)
    {
        for (int i = 0; i < count; ++i) {
            auto &proposer = at(co_await waitForLeader());
            REQUIRE((co_await proposer.log.propose("command-" + std::to_string(nextCommand++))).has_value());
        }
    }

    [[nodiscard]] bool allApplied(std::size_t count) const
    {
        return std::all_of(replicas.begin(), replicas.end(), [count](const auto &replica) {
            return !replica || replica->stateMachine.commands.size() == count;
        });
    }

    boost::asio::io_context io;
    TemporaryFolder folder;
    std::array<std::uint16_t, 3> ports{};
    std::vector<boost::asio::ip::tcp::socket> reservations;
    std::function<void(ReplicaSettings &)> adjust;
    /// How the process of this index writes its files; the system calls if not set.
    std::function<FileHooks(int)> filesOf;
    /// The reported changes of leadership of each replica.
    std::array<std::vector<Leadership>, 3> leaderships;
    /// The replica whose frames are dropped in both directions; -1 for none.
    int cutOff = -1;
    std::array<std::unique_ptr<TestReplica>, 3> replicas;
    int nextCommand = 0;
};

} // namespace tamarackcove::test
