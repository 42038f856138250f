#include "ZoneFixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

namespace asio = boost::asio;
using namespace tamarackcove;

static const AdapterRef Rules("rules", "1");
static const AdapterRef Forms("forms", "2");

static std::vector<ZonePeer> peers(const std::vector<std::pair<std::string, std::string>> &namesAndZones)
{
    const auto ports = freePorts(namesAndZones.size());
    std::vector<ZonePeer> all;
    for (std::size_t i = 0; i < ports.size(); ++i) {
        all.push_back({.id = EntryId(namesAndZones[i].first),
                       .zone = Zone(namesAndZones[i].second),
                       .peer = {.host = "127.0.0.1", .port = ports[i]},
                       .http = {.host = "127.0.0.1", .port = static_cast<std::uint16_t>(10000 + i)}});
    }
    return all;
}

/// Several entries that run in the test process and connect to each other over loopback.
struct Entries
{
    Entries(Supervisor &supervisor, std::vector<ZonePeer> all, ZoneHooks hooks = {})
        : root(supervisor)
        , allPeers(std::move(all))
    {
        for (std::size_t i = 0; i < allPeers.size(); ++i) {
            add(i, hooks);
        }
    }

    void add(std::size_t i, ZoneHooks hooks = {})
    {
        ZoneOptions options;
        options.self = allPeers[i].id;
        options.zone = allPeers[i].zone;
        options.listen = allPeers[i].peer;
        options.peers = allPeers;
        options.seed = i + 1;
        auto entry = std::make_unique<ZoneEntry>(options, hooks);
        REQUIRE(entry->zone.listen(root.executor()).has_value());
        auto *running = entry.get();
        root.start(allPeers[i].id.value(), [running] { return running->zone.run(); });
        members.push_back(std::move(entry));
    }

    ZoneEntry *coordinator()
    {
        for (auto &member : members) {
            if (member->zone.isCoordinator()) {
                return member.get();
            }
        }
        return nullptr;
    }

    ZoneEntry *follower()
    {
        for (auto &member : members) {
            if (!member->zone.isCoordinator()) {
                return member.get();
            }
        }
        return nullptr;
    }

    bool allMayDispatch()
    {
        return std::all_of(members.begin(), members.end(),
                           [](const auto &member) { return member->access.mayDispatch(Clock::now()); });
    }

    Supervisor &root;
    std::vector<ZonePeer> allPeers;
    std::vector<std::unique_ptr<ZoneEntry>> members;
};

static LoadDemand demandFor(const AdapterRef &adapter)
{
    LoadDemand demand;
    demand.adapter = adapter;
    demand.waiting = 1;
    demand.arrivals = 1;
    return demand;
}

static bool holds(const ZoneEntry &entry, const AdapterRef &adapter)
{
    return !entry.access.view().holders(adapter).empty();
}

TEST_CASE("three entries share one view, and an adapter that one of them has pinned is not unloaded")
{
    ZoneTest zoneTest;
    Entries entries(zoneTest.root, peers({{"e1", "a"}, {"e2", "a"}, {"e3", "a"}}));
    StubEngine engine(zoneTest.root, "t1", 1);
    zoneTest.run([&]() -> asio::awaitable<void> {
        CHECK(co_await eventually([&] { return entries.coordinator() != nullptr && entries.allMayDispatch(); },
                                  seconds(8)));
        auto *follower = entries.follower();
        REQUIRE(follower != nullptr);
        CHECK(follower->zone.announce(engine.announcement()).status == 200);
        CHECK(co_await eventually([&] { return follower->access.view().find(TargetId("t1")) != nullptr; }));
        follower->access.demand(demandFor(Rules));
        CHECK(co_await eventually([&] {
            return std::all_of(entries.members.begin(), entries.members.end(),
                               [](const auto &member) { return holds(*member, Rules); });
        }));
        follower->pins.pin(TargetId("t1"), Rules);
        follower->access.demand(demandFor(Forms));
        CHECK_FALSE(co_await eventually([&] { return engine.unloads > 0; }, milliseconds(1000)));
        follower->pins.unpin(TargetId("t1"), Rules);
        follower->access.demand(demandFor(Forms));
        CHECK(co_await eventually([&] { return holds(*follower, Forms); }));
        CHECK(engine.unloads == 1);
    });
}

TEST_CASE("when the coordinator stops without releasing its lease, another entry takes over and keeps the view")
{
    ZoneTest zoneTest;
    Entries entries(zoneTest.root, peers({{"e1", "a"}, {"e2", "a"}, {"e3", "a"}}));
    StubEngine engine(zoneTest.root, "t1", 2);
    zoneTest.run([&]() -> asio::awaitable<void> {
        CHECK(co_await eventually([&] { return entries.coordinator() != nullptr && entries.allMayDispatch(); },
                                  seconds(8)));
        auto *first = entries.coordinator();
        CHECK(first->zone.announce(engine.announcement()).status == 200);
        first->access.demand(demandFor(Rules));
        CHECK(co_await eventually([&] { return holds(*entries.follower(), Rules); }));
        const auto index
            = static_cast<std::size_t>(std::find_if(entries.members.begin(), entries.members.end(),
                                                    [first](const auto &member) { return member.get() == first; })
                                       - entries.members.begin());
        co_await zoneTest.root.stopChild(entries.allPeers[index].id.value());
        const auto stoppedAt = Clock::now();
        auto *survivor = entries.members[index == 0 ? 1 : 0].get();
        CHECK(co_await eventually(
            [&] {
                auto *now = entries.coordinator();
                return now != nullptr && now != first && survivor->access.mayDispatch(Clock::now());
            },
            seconds(6)));
        MESSAGE("takeover took " << duration_cast<milliseconds>(Clock::now() - stoppedAt).count() << " ms");
        CHECK(co_await eventually([&] { return holds(*survivor, Rules); }));
    });
}

TEST_CASE("when the coordinator releases its lease, another entry takes over within 1.5 s")
{
    ZoneTest zoneTest;
    Entries entries(zoneTest.root, peers({{"e1", "a"}, {"e2", "a"}, {"e3", "a"}}));
    zoneTest.run([&]() -> asio::awaitable<void> {
        CHECK(co_await eventually([&] { return entries.coordinator() != nullptr && entries.allMayDispatch(); },
                                  seconds(8)));
        auto *first = entries.coordinator();
        co_await first->zone.resignLease();
        CHECK(co_await eventually([&] { return entries.coordinator() != nullptr && entries.coordinator() != first; },
                                  milliseconds(1500)));
    });
}

TEST_CASE("a zone learns which adapters are resident and which entries are alive in another zone")
{
    ZoneTest zoneTest;
    Entries entries(zoneTest.root, peers({{"e1", "a"}, {"f1", "b"}}));
    StubEngine engine(zoneTest.root, "t1", 1);
    zoneTest.run([&]() -> asio::awaitable<void> {
        auto &inA = *entries.members[0];
        auto &inB = *entries.members[1];
        CHECK(co_await eventually([&] { return inA.zone.isCoordinator() && inB.zone.isCoordinator(); }));
        CHECK(inA.zone.announce(engine.announcement()).status == 200);
        inA.access.demand(demandFor(Rules));
        CHECK(co_await eventually(
            [&] { return inB.access.view().remoteHolders(Rules) == std::vector<Zone>{Zone("a")}; }));
        CHECK(inB.access.reachableZones() == std::vector<Zone>{Zone("b"), Zone("a")});
        CHECK(inB.access.entries(Zone("a")) == std::vector<Endpoint>{entries.allPeers[0].http});
        co_await zoneTest.root.stopChild("e1");
        CHECK(co_await eventually([&] { return inB.access.reachableZones().size() == 1; }, seconds(12)));
        CHECK(inB.access.view().remoteHolders(Rules).empty());
    });
}

TEST_CASE("a revision is in force once a majority holds it, and a restarted entry fetches it from its peers")
{
    ZoneTest zoneTest;
    std::vector<Revision> activated;
    std::string received;
    ZoneHooks hooks;
    hooks.heldConfiguration = [] {
        return std::make_pair(Revision(7), std::string(1500000, 'x'));
    };
    auto allPeers = peers({{"e1", "a"}, {"e2", "a"}, {"e3", "a"}});
    Entries entries(zoneTest.root, {}, {});
    entries.allPeers = allPeers;
    hooks.onActivate = [&activated](Revision revision) {
        activated.push_back(revision);
    };
    entries.add(0, hooks);
    entries.add(1, hooks);
    zoneTest.run([&]() -> asio::awaitable<void> {
        entries.members[0]->zone.announceHeldRevision(Revision(7));
        CHECK_FALSE(co_await eventually([&] { return !activated.empty(); }, milliseconds(700)));
        entries.members[1]->zone.announceHeldRevision(Revision(7));
        CHECK(co_await eventually([&] { return activated.size() == 2; }, milliseconds(600)));
        ZoneHooks restartedHooks;
        restartedHooks.onPeerConfiguration = [&received](Revision, const std::string &bytes) {
            received = bytes;
        };
        entries.add(2, restartedHooks);
        CHECK_FALSE(entries.members[2]->zone.configurationReady());
        CHECK(co_await eventually([&] { return entries.members[2]->zone.configurationReady(); }));
        CHECK(received.size() == 1500000);
    });
}
