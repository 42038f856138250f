#include "ThreeReplicas.h"

namespace asio = boost::asio;
using namespace tamarackcove;
using namespace tamarackcove::test;

TEST_CASE(
    "three processes form a group, commit without the stopped leader, and tolerate one loss again after its restart")
{
    ThreeReplicas group;
    group.run([&]() -> asio::awaitable<void> {
        co_await group.proposeMany(10);
        co_await eventually([&] { return group.allApplied(10); });
        const auto oldLeader = co_await group.waitForLeader();
        co_await eventually([&] { return group.at(oldLeader).log.status().lossesTolerated == 1; });
        const auto follower = (oldLeader + 1) % 3;
        const auto refused = co_await group.at(follower).log.propose("to a follower");
        REQUIRE(refused.has_error());
        CHECK(refused.error().code == LogErrorCode::NotLeader);
        CHECK(refused.error().leader == Endpoint{"127.0.0.1", static_cast<std::uint16_t>(9000 + oldLeader)});

        co_await group.stop(oldLeader);
        co_await group.proposeMany(10);
        CHECK(group.lossesTolerated() == 0);
        group.start(oldLeader);
        co_await eventually([&] { return group.allApplied(20); });
        co_await eventually([&] { return group.lossesTolerated() == 1; });
    });
}

TEST_CASE("a process whose data folder was emptied joins under a new identity and becomes a voter again")
{
    ThreeReplicas group;
    group.run([&]() -> asio::awaitable<void> {
        co_await group.proposeMany(120);
        const auto leader = co_await group.waitForLeader();
        const auto emptied = (leader + 1) % 3;
        const auto oldIdentity = group.at(emptied).log.status().self;
        co_await group.stop(emptied);
        std::filesystem::remove_all(group.folder.path / ("c" + std::to_string(emptied)));
        group.start(emptied);
        CHECK(group.at(emptied).log.status().self != oldIdentity);
        co_await eventually([&] {
            if (group.leader() < 0) {
                return false;
            }
            const auto status = group.at(group.leader()).log.status();
            const bool replaced
                = std::none_of(status.replicas.begin(), status.replicas.end(),
                               [&](const auto &replica) { return replica.id == oldIdentity || !replica.voter; });
            return replaced && status.replicas.size() == 3 && status.lossesTolerated == 1 && group.allApplied(120);
        });
    });
}

TEST_CASE(
    "a leader transfers leadership on request, and without a majority a proposal fails with an error that says so")
{
    ThreeReplicas group;
    group.run([&]() -> asio::awaitable<void> {
        co_await group.proposeMany(1);
        const auto formerLeader = co_await group.waitForLeader();
        co_await eventually([&] { return group.at(formerLeader).log.status().lossesTolerated == 1; });
        CHECK(co_await group.at(formerLeader).task.transferLeadership(seconds(2)));
        co_await eventually([&] { return group.leader() >= 0 && group.leader() != formerLeader; });

        const auto newLeader = co_await group.waitForLeader();
        co_await group.stop((newLeader + 1) % 3);
        co_await group.stop((newLeader + 2) % 3);
        co_await eventually([&] { return !group.at(newLeader).task.leads(); }, seconds(2));
        const auto refused = co_await group.at(newLeader).log.propose("without a majority");
        REQUIRE(refused.has_error());
        CHECK(refused.error().code == LogErrorCode::Unavailable);
        CHECK(refused.error().detail.find("majority") != std::string::npos);
        CHECK(group.at(newLeader).log.status().lossesTolerated < 0);
    });
}

// Guards against a leader that starts over, with all its state, each time its lease expires for a moment under load.
TEST_CASE("a leader whose lease expires and becomes valid again in the same term is suspended, but not replaced")
{
    ThreeReplicas group([](ReplicaSettings &settings) {
        settings.leaderLease = milliseconds(200);
        settings.minElectionTimeout = seconds(4);
        settings.maxElectionTimeout = seconds(5);
    });
    group.run([&]() -> asio::awaitable<void> {
        co_await group.proposeMany(1);
        const auto leader = co_await group.waitForLeader();
        const auto term = group.at(leader).log.status().term;
        auto &reported = group.leaderships[static_cast<std::size_t>(leader)];
        REQUIRE(reported.back() == Leadership::Held);
        const auto before = reported.size();
        group.cutOff = leader;
        co_await eventually([&] { return reported.back() == Leadership::Suspended; });
        CHECK_FALSE(group.at(leader).task.leads());
        group.cutOff = -1;
        co_await eventually([&] { return reported.back() == Leadership::Held; });
        CHECK(reported.size() == before + 2);
        CHECK(group.at(leader).log.status().term == term);
        co_await group.proposeMany(1);
    });
}

TEST_CASE("a leader that another one has replaced while it was cut off reports that its leadership has ended")
{
    ThreeReplicas group;
    group.run([&]() -> asio::awaitable<void> {
        co_await group.proposeMany(1);
        const auto leader = co_await group.waitForLeader();
        auto &reported = group.leaderships[static_cast<std::size_t>(leader)];
        group.cutOff = leader;
        co_await eventually([&] { return group.leader() >= 0 && group.leader() != leader; });
        // Suspended, or None if it has stepped down by itself before the election ended.
        CHECK(reported.back() != Leadership::Held);
        group.cutOff = -1;
        co_await eventually([&] { return reported.back() == Leadership::None; });
    });
}
