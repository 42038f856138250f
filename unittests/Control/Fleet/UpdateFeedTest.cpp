#include "tamarackcove/Control/Fleet/UpdateFeed.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>
#include <optional>

using namespace tamarackcove;

static const BaseModel Model("m");

static ServerHeartbeat heartbeat(int number)
{
    ServerHeartbeat server;
    server.identity = {.id = TargetId("s" + std::to_string(number)), .startedAt = Incarnation(1)};
    server.service = ServiceName("engines");
    server.endpoint = {.host = "10.0.0." + std::to_string(number), .port = 80};
    server.zone = Zone("z");
    server.slots = 8;
    server.sequence = 1;
    server.models = {{.name = Model, .version = 1, .adapters = {}}};
    return server;
}

/// Fixture: the feed of a leader with some servers, and what one entry has received from it.
class UpdateFeedFixture
{
public:
    static constexpr int Servers = 20;

    UpdateFeedFixture()
    {
        for (int i = 0; i < Servers; ++i) {
            REQUIRE(registry.heartbeat(heartbeat(i), now) == ServerRegistry::HeartbeatResult::Changed);
        }
        (void)registry.takeChanges();
        feed.restart();
    }

    static AdapterPlanner::HoldingChange holding(int server, const std::string &adapter, TimePoint readyAt)
    {
        return {.server = TargetId("s" + std::to_string(server)),
                .adapter = {Model, adapter},
                .version = 1,
                .readyAt = readyAt};
    }

    static FleetUpdateMessage decode(const SharedFrame &frame)
    {
        constexpr std::size_t LengthBytes = 4;
        const auto message = decodeFrame(std::span(*frame).subspan(LengthBytes));
        REQUIRE(message.has_value());
        const auto update = fromMessage<FleetUpdateMessage>(message.value());
        REQUIRE(update.has_value());
        return update.value();
    }

    /// What the frames of one call say, as one update.
    FleetUpdateMessage receive(UpdateFeed::Position &position)
    {
        FleetUpdateMessage all;
        for (const auto &frame : feed.framesAfter(position)) {
            const auto update = decode(frame);
            all.servers.insert(all.servers.end(), update.servers.begin(), update.servers.end());
            all.removed.insert(all.removed.end(), update.removed.begin(), update.removed.end());
            all.holdings.insert(all.holdings.end(), update.holdings.begin(), update.holdings.end());
            all.relisted.insert(all.relisted.end(), update.relisted.begin(), update.relisted.end());
            all.loads.insert(all.loads.end(), update.loads.begin(), update.loads.end());
            all.departed.insert(all.departed.end(), update.departed.begin(), update.departed.end());
            all.complete = all.complete || update.complete;
        }
        return all;
    }

    TimePoint now{seconds(100)};
    FleetState state;
    ServerRegistry registry{{}};
    AdapterPlanner planner{{}};
    UpdateFeed feed{state, registry, planner};
};

TEST_CASE_FIXTURE(UpdateFeedFixture, "an entry that connects gets the whole state, and then only what has changed")
{
    UpdateFeed::Position position;
    CHECK(receive(position).servers.size() == Servers);
    CHECK(receive(position).servers.empty());
    auto drains = heartbeat(3);
    drains.sequence = 2;
    drains.draining = true;
    REQUIRE(registry.heartbeat(drains, now) == ServerRegistry::HeartbeatResult::Departing);
    feed.addServers(registry.takeChanges());
    feed.addHoldings({holding(1, "a1", now + milliseconds(250))});
    CHECK(feed.publish());
    CHECK_FALSE(feed.publish());
    const auto update = receive(position);
    REQUIRE(update.servers.size() == 1);
    CHECK(update.servers.front().id == "s3");
    CHECK(update.servers.front().draining);
    REQUIRE(update.holdings.size() == 1);
    CHECK(update.holdings.front().readyAtMs == 100250);
}

// Guards against a leader whose CPU time for updates grows with the number of entries: it then stays overloaded once a
// burst of changes has made it late, and tells entries of servers that leave too late.
TEST_CASE_FIXTURE(UpdateFeedFixture, "each update is encoded once, whatever the number of entries and servers")
{
    constexpr int Changes = 50;
    for (const int entries : {67, 150, 330}) {
        CAPTURE(entries);
        std::vector<UpdateFeed::Position> positions(entries);
        for (auto &position : positions) {
            (void)feed.framesAfter(position);
        }
        const auto before = feed.encodedFrames();
        std::size_t received = 0;
        for (int change = 0; change < Changes; ++change) {
            feed.addHoldings({holding(change % Servers, "a" + std::to_string(change), now)});
            feed.publish();
            for (auto &position : positions) {
                received += feed.framesAfter(position).size();
            }
        }
        CHECK(received == static_cast<std::size_t>(Changes) * entries);
        CHECK(feed.encodedFrames() - before == Changes);
    }
}

// Guards against the load of a leader that tells everything to entries which all connect at the same time.
TEST_CASE_FIXTURE(UpdateFeedFixture, "the whole state is encoded once for entries that connect together")
{
    std::vector<UpdateFeed::Position> positions(330);
    for (auto &position : positions) {
        CHECK(receive(position).servers.size() == Servers);
    }
    const auto afterFirst = feed.encodedFrames();
    feed.restart();
    for (auto &position : positions) {
        CHECK(receive(position).servers.size() == Servers);
    }
    CHECK(feed.encodedFrames() == 2 * afterFirst);
}

TEST_CASE_FIXTURE(UpdateFeedFixture,
                  "an entry that has fallen far behind gets the whole state and the updates after it")
{
    UpdateFeed::Position position;
    (void)feed.framesAfter(position);
    constexpr int ManyUpdates = 1000;
    for (int change = 0; change < ManyUpdates; ++change) {
        feed.addHoldings({holding(change % Servers, "a" + std::to_string(change), now)});
        feed.publish();
    }
    const auto update = receive(position);
    CHECK(update.servers.size() == Servers);
    CHECK(update.holdings.size() < ManyUpdates / 10);
    feed.addHoldings({holding(1, "last", now)});
    feed.publish();
    const auto next = receive(position);
    CHECK(next.servers.empty());
    CHECK(next.holdings.size() == 1);
}

TEST_CASE_FIXTURE(UpdateFeedFixture, "a load is sent when it has changed, also to zero")
{
    UpdateFeed::Position position;
    feed.setLoads({{.server = "s1", .load = 2}, {.server = "s2", .load = 1}});
    feed.publish();
    (void)feed.framesAfter(position);
    feed.setLoads({{.server = "s1", .load = 3}});
    feed.publish();
    const auto update = receive(position);
    REQUIRE(update.loads.size() == 2);
    CHECK(update.loads[0].server == "s1");
    CHECK(update.loads[0].load == 3);
    CHECK(update.loads[1].server == "s2");
    CHECK(update.loads[1].load == 0);
}

// Guards against entries that fill the memory of an engine because they do not learn of the requests of others.
TEST_CASE_FIXTURE(UpdateFeedFixture, "a load is sent when only the memory in use has changed")
{
    UpdateFeed::Position position;
    feed.setLoads({{.server = "s1", .load = 2, .memoryTokens = 900}, {.server = "s2", .load = 1}});
    feed.publish();
    (void)feed.framesAfter(position);
    feed.setLoads({{.server = "s1", .load = 2, .memoryTokens = 9000}, {.server = "s2", .load = 1}});
    feed.publish();
    const auto update = receive(position);
    REQUIRE(update.loads.size() == 1);
    CHECK(update.loads[0].server == "s1");
    CHECK(update.loads[0].memoryTokens == 9000);
}

// Guards against entries that are not told that a server has become slow, or is so no longer.
TEST_CASE_FIXTURE(UpdateFeedFixture, "a load is sent when only the slowness of the server has changed")
{
    UpdateFeed::Position position;
    feed.setLoads({{.server = "s1", .load = 2}});
    feed.publish();
    (void)feed.framesAfter(position);
    for (const double slowness : {2.5, 1.0}) {
        feed.setLoads({{.server = "s1", .load = 2, .slowness = slowness}});
        feed.publish();
        const auto update = receive(position);
        REQUIRE(update.loads.size() == 1);
        CHECK(update.loads[0].slowness == slowness);
    }
}

// Guards against an entry that keeps the holdings which have ended while it was disconnected or far behind.
TEST_CASE_FIXTURE(UpdateFeedFixture, "the whole state names the servers whose holdings it lists in full")
{
    EngineProfile profile;
    profile.adapterSlots = 4;
    for (const int number : {1, 2}) {
        planner.updateServer(heartbeat(number), false, profile, now);
    }
    REQUIRE(planner.nextStep(TargetId("s1"), now).kind == AdapterPlanner::Step::Kind::ReadState);
    ServerReport report;
    report.startedAt = Incarnation(1);
    report.models = {{.name = Model, .version = 1, .adapters = {{.adapter = "a1", .version = 1}}}};
    planner.applyReport(heartbeat(1).identity, report, now, now);
    UpdateFeed::Position position;
    const auto wholeState = receive(position);
    CHECK(wholeState.relisted == std::vector<std::string>{"s1"});
    CHECK(wholeState.holdings.size() == 1);
    feed.addHoldings(planner.takeChanges());
    feed.publish();
    CHECK(receive(position).relisted.empty());
}

// Guards against entries that learn of no holdings at all because those of one server do not fit into a frame.
TEST_CASE_FIXTURE(UpdateFeedFixture, "the whole state has all holdings, also of adapters with the longest names")
{
    constexpr std::size_t Holdings = 4000;
    const std::string padding(MaxNameBytes - 5, 'a');
    const BaseModel longModel(std::string(MaxNameBytes, 'm'));
    const ServerIdentity longId{.id = TargetId(std::string(MaxNameBytes, 's')), .startedAt = Incarnation(1)};
    auto server = heartbeat(1);
    server.identity = longId;
    server.endpoint.port = 99;
    REQUIRE(registry.heartbeat(server, now) == ServerRegistry::HeartbeatResult::Changed);
    EngineProfile profile;
    profile.adapterSlots = 4;
    planner.updateServer(server, false, profile, now);
    REQUIRE(planner.nextStep(longId.id, now).kind == AdapterPlanner::Step::Kind::ReadState);
    ServerReport report;
    report.startedAt = Incarnation(1);
    report.models = {{.name = longModel, .version = 1, .adapters = {}}};
    for (std::size_t i = 0; i < Holdings; ++i) {
        const auto number = std::to_string(10000 + i);
        report.models.front().adapters.push_back({.adapter = padding + number, .version = 1});
    }
    CHECK_FALSE(report.validationError().has_value());
    planner.applyReport(longId, report, now, now);
    UpdateFeed::Position position;
    CHECK(receive(position).holdings.size() == Holdings);
}

// Guards against entries that avoid an idle server because of the load that an earlier leader has sent.
TEST_CASE_FIXTURE(UpdateFeedFixture, "a server without load is listed after a change of the leader")
{
    const auto loadOfFirstServer = [](const FleetUpdateMessage &update) {
        const auto found = std::find_if(update.loads.begin(), update.loads.end(),
                                        [](const ServerLoadMessage &load) { return load.server == "s1"; });
        return found == update.loads.end() ? std::nullopt : std::optional(found->load);
    };
    UpdateFeed::Position position;
    feed.setLoads({{.server = "s1", .load = 8}});
    feed.publish();
    CHECK(loadOfFirstServer(receive(position)) == 8);
    feed.restart();
    CHECK_FALSE(loadOfFirstServer(receive(position)).has_value());
    feed.setLoads({{.server = "s2", .load = 1}});
    feed.publish();
    CHECK(loadOfFirstServer(receive(position)) == 0);
    UpdateFeed::Position later;
    CHECK(loadOfFirstServer(receive(later)) == 0);
}

TEST_CASE_FIXTURE(UpdateFeedFixture, "the list of all servers is sent once they have had time to announce themselves")
{
    UpdateFeed::Position position;
    CHECK_FALSE(receive(position).complete);
    feed.setServersComplete();
    feed.publish();
    CHECK(receive(position).complete);
    UpdateFeed::Position later;
    CHECK(receive(later).complete);
}

// Guards against an entry that does not learn which servers have fallen silent, and against updates that repeat it.
TEST_CASE_FIXTURE(UpdateFeedFixture,
                  "the servers that have fallen silent are sent when they change, and in the whole state")
{
    UpdateFeed::Position position;
    (void)feed.framesAfter(position);
    CHECK(feed.setSilentServers({TargetId("s3")}));
    CHECK_FALSE(feed.setSilentServers({TargetId("s3")}));
    CHECK(feed.publish());
    CHECK_FALSE(feed.publish());
    const auto frames = feed.framesAfter(position);
    REQUIRE(frames.size() == 1);
    const auto update = decode(frames.front());
    CHECK(update.listsSilentServers);
    CHECK(update.silentServers == std::vector<std::string>{"s3"});
    UpdateFeed::Position newEntry;
    bool listed = false;
    for (const auto &frame : feed.framesAfter(newEntry)) {
        const auto part = decode(frame);
        listed = listed || (part.listsSilentServers && part.silentServers == update.silentServers);
    }
    CHECK(listed);
}

// Guards against a departure of which entries never learn, as the leader that has recorded it has ended before it told
// them: the next one does not know the server.
TEST_CASE_FIXTURE(UpdateFeedFixture, "the whole state names the starts of servers that drain or have ended")
{
    const auto depart = [&](const std::string &id, bool gone, bool startKnown = true) {
        const ServerIdentity server{.id = TargetId(id), .startedAt = Incarnation(startKnown ? 7 : 0)};
        state.apply(1, {}, NoteDeparture{.server = server, .service = {}, .gone = gone, .startKnown = startKnown});
    };
    depart("gone", true);
    depart("draining", false);
    depart("unknown", true, false);
    UpdateFeed::Position position;
    const auto departed = receive(position).departed;
    REQUIRE(departed.size() == 2);
    CHECK(departed[0].server == "draining");
    CHECK(departed[1].server == "gone");
    CHECK(departed[1].startedAt == 7);
    CHECK(receive(position).departed.empty());
    feed.addDeparture({.id = TargetId("later"), .startedAt = Incarnation(8)});
    CHECK(feed.publish());
    CHECK(receive(position).departed.size() == 1);
}

// Guards against entries that get no whole state because the departures do not fit into a frame.
TEST_CASE_FIXTURE(UpdateFeedFixture, "the whole state has all departures, also of servers with the longest names")
{
    const std::string padding(MaxNameBytes - 5, 'a');
    for (std::size_t i = 0; i < FleetState::MaxDepartures; ++i) {
        const ServerIdentity server{.id = TargetId(padding + std::to_string(10000 + i)),
                                    .startedAt = Incarnation(253402300799999)};
        state.apply(1, {}, NoteDeparture{.server = server, .service = {}, .gone = true});
    }
    UpdateFeed::Position position;
    CHECK(receive(position).departed.size() == FleetState::MaxDepartures);
}
