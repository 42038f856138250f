#include "tamarackcove/Fleet/AdapterPlanner.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <set>

using namespace tamarackcove;

static constexpr TimePoint Start{std::chrono::hours(1)};
static const BaseModel Model("m");
static const Zone Here("here");
static const EntryId Entry("e");

using Step = AdapterPlanner::Step;

static AdapterKey adapter(int number)
{
    return {Model, "a" + std::to_string(number)};
}

static EngineProfile profile(int places = 3)
{
    EngineProfile made;
    made.slots = 8;
    made.adapterSlots = places;
    made.weightsMb = 1000;
    made.storeLoadsPerSecond = 3;
    made.models.push_back({.name = Model, .weightsMb = 900, .adapterMb = 10, .storeLoadTime = seconds(2)});
    return made;
}

static ServerHeartbeat heartbeat(const std::string &id, std::uint64_t startedAt = 1)
{
    ServerHeartbeat said;
    said.identity = {.id = TargetId(id), .startedAt = Incarnation(startedAt)};
    said.service = ServiceName("s");
    said.endpoint = {.host = "10.0.0.1", .port = 80};
    said.zone = Here;
    said.slots = 8;
    return said;
}

static ServerReport holdsModel(std::vector<int> adapters = {}, std::uint64_t orders = 0)
{
    ServerReport report;
    report.startedAt = Incarnation(1);
    HeldModel model{.name = Model, .version = 1, .adapters = {}};
    for (const int number : adapters) {
        model.adapters.push_back({.adapter = adapter(number).adapter, .version = 1});
    }
    report.models.push_back(model);
    report.ordersAccepted = orders;
    return report;
}

/// A planner with servers whose state has been read.
static AdapterPlanner planner(const std::vector<std::string> &servers, int places = 3,
                              AdapterPlanner::Options options = {})
{
    AdapterPlanner made(options);
    for (const auto &id : servers) {
        made.serverSeen(heartbeat(id), false, profile(places), Start);
        REQUIRE(made.next(TargetId(id), Start).kind == Step::Kind::ReadState);
        made.reported(heartbeat(id).identity, holdsModel(), Start, Start);
    }
    return made;
}

/// Only the server's own limits bind.
static AdapterPlanner::Options ampleStore()
{
    AdapterPlanner::Options options;
    options.store.loadsPerServer = 100;
    return options;
}

TEST_CASE("the state of a server is read before its first order")
{
    AdapterPlanner made({});
    made.serverSeen(heartbeat("a"), false, profile(), Start);
    CHECK_FALSE(made.demand(adapter(1), 0, Here, 1, Start).has_value());
    CHECK(made.next(TargetId("a"), Start).kind == Step::Kind::ReadState);
}

TEST_CASE("requests of many entries for one adapter lead to one load")
{
    auto made = planner({"a", "b"});
    const auto chosen = made.demand(adapter(1), 0, Here, 1, Start);
    REQUIRE(chosen.has_value());
    CHECK_FALSE(made.demand(adapter(1), 0, Here, 1, Start).has_value());
    const auto step = made.next(*chosen, Start);
    REQUIRE(step.kind == Step::Kind::Order);
    CHECK(step.order.action == ServerOrder::Action::Load);
    CHECK(step.order.expectedOrders == 0);
    made.orderEnded(step.order, OrderOutcome::Accepted, Start);
    CHECK_FALSE(made.demand(adapter(1), 0, Here, 1, Start + seconds(1)).has_value());
}

TEST_CASE("an adapter that many requests wait for is loaded by several servers")
{
    auto made = planner({"a", "b", "c"});
    const auto first = made.demand(adapter(1), 0, Here, 5, Start);
    const auto second = made.demand(adapter(1), 0, Here, 5, Start);
    REQUIRE(first.has_value());
    REQUIRE(second.has_value());
    CHECK(*first != *second);
    CHECK_FALSE(made.demand(adapter(1), 0, Here, 5, Start).has_value());
}

TEST_CASE("a request that its only holder has failed gets the adapter elsewhere")
{
    auto made = planner({"a", "b"});
    const auto first = made.demand(adapter(1), 0, Here, 1, Start);
    made.orderEnded(made.next(*first, Start).order, OrderOutcome::Accepted, Start);
    CHECK_FALSE(made.demand(adapter(1), 0, Here, 1, Start + seconds(1)).has_value());
    const auto second = made.demand(adapter(1), 0, Here, 1, Start + seconds(1), 1);
    REQUIRE(second.has_value());
    CHECK(*second != *first);
}

TEST_CASE("the next order expects the ones that were accepted before")
{
    auto made = planner({"a"});
    (void)made.demand(adapter(1), 0, Here, 1, Start);
    auto step = made.next(TargetId("a"), Start);
    made.orderEnded(step.order, OrderOutcome::Accepted, Start);
    (void)made.demand(adapter(2), 0, Here, 1, Start);
    step = made.next(TargetId("a"), Start);
    REQUIRE(step.kind == Step::Kind::Order);
    CHECK(step.order.expectedOrders == 1);
}

TEST_CASE("a full server unloads its least used adapter first, and never one that is in use")
{
    auto made = planner({"a"}, 2);
    TimePoint now = Start;
    for (const int number : {1, 2}) {
        (void)made.demand(adapter(number), 0, Here, 1, now);
        const auto step = made.next(TargetId("a"), now);
        made.orderEnded(step.order, OrderOutcome::Accepted, now);
    }
    now += seconds(1);
    made.used(TargetId("a"), adapter(1), Entry, 1, 1, now);
    made.used(TargetId("a"), adapter(2), Entry, 5, 0, now);
    now += seconds(1);
    (void)made.demand(adapter(3), 0, Here, 1, now);
    auto step = made.next(TargetId("a"), now);
    REQUIRE(step.kind == Step::Kind::Order);
    CHECK(step.order.action == ServerOrder::Action::Unload);
    CHECK(step.order.weights == adapter(2));
    made.orderEnded(step.order, OrderOutcome::Done, now);
    step = made.next(TargetId("a"), now);
    CHECK(step.order.action == ServerOrder::Action::Load);
    CHECK(step.order.weights == adapter(3));
}

TEST_CASE("an adapter that has just been loaded is not evicted before its requests can use it")
{
    auto made = planner({"a"}, 1);
    (void)made.demand(adapter(1), 0, Here, 1, Start);
    made.orderEnded(made.next(TargetId("a"), Start).order, OrderOutcome::Accepted, Start);
    const auto ready = Start + AdapterPlanner::Options{}.storeLoadTime;
    (void)made.demand(adapter(2), 0, Here, 1, ready + milliseconds(100));
    CHECK(made.next(TargetId("a"), ready + milliseconds(100)).kind == Step::Kind::Wait);
}

TEST_CASE("a server that waits for requests before it unloads is ordered nothing else")
{
    auto made = planner({"a"}, 1);
    (void)made.demand(adapter(1), 0, Here, 1, Start);
    made.orderEnded(made.next(TargetId("a"), Start).order, OrderOutcome::Accepted, Start);
    auto now = Start + seconds(3);
    (void)made.demand(adapter(2), 0, Here, 1, now);
    auto step = made.next(TargetId("a"), now);
    REQUIRE(step.order.action == ServerOrder::Action::Unload);
    made.orderEnded(step.order, OrderOutcome::Accepted, now);
    CHECK(made.next(TargetId("a"), now).kind == Step::Kind::Wait);
    now += milliseconds(500);
    CHECK(made.next(TargetId("a"), now).kind == Step::Kind::ReadState);
    made.reported(step.order.server, holdsModel({}, 2), now, now);
    (void)made.demand(adapter(2), 0, Here, 1, now);
    step = made.next(TargetId("a"), now);
    REQUIRE(step.kind == Step::Kind::Order);
    CHECK(step.order.action == ServerOrder::Action::Load);
    CHECK(step.order.expectedOrders == 2);
}

TEST_CASE("the requests of an entry that is gone hold no adapter")
{
    auto made = planner({"a"}, 1);
    (void)made.demand(adapter(1), 0, Here, 1, Start);
    made.orderEnded(made.next(TargetId("a"), Start).order, OrderOutcome::Accepted, Start);
    made.used(TargetId("a"), adapter(1), Entry, 1, 1, Start);
    const auto later = Start + seconds(2);
    (void)made.demand(adapter(2), 0, Here, 1, later);
    CHECK(made.next(TargetId("a"), later).kind == Step::Kind::Wait);
    made.entryGone(Entry);
    CHECK(made.next(TargetId("a"), later).kind == Step::Kind::Order);
}

TEST_CASE("a load without an answer keeps its place, and is ordered again before anything else")
{
    auto made = planner({"a"}, 1);
    (void)made.demand(adapter(1), 0, Here, 1, Start);
    const auto order = made.next(TargetId("a"), Start).order;
    made.orderEnded(order, OrderOutcome::Unknown, Start);
    (void)made.demand(adapter(2), 0, Here, 1, Start);
    auto step = made.next(TargetId("a"), Start);
    REQUIRE(step.kind == Step::Kind::Order);
    CHECK(step.order.action == ServerOrder::Action::Load);
    CHECK(step.order.weights == adapter(1));
    // Whichever of the two is carried out first, the server refuses the other.
    CHECK(step.order.expectedOrders == order.expectedOrders);
    made.orderEnded(step.order, OrderOutcome::Unknown, Start);
    step = made.next(TargetId("a"), Start);
    made.orderEnded(step.order, OrderOutcome::Unknown, Start);
    CHECK(made.next(TargetId("a"), Start).kind == Step::Kind::Wait);
    const auto later = Start + seconds(1);
    CHECK(made.next(TargetId("a"), later).kind == Step::Kind::ReadState);
    made.reported(order.server, holdsModel(), later, later);
    (void)made.demand(adapter(2), 0, Here, 1, later);
    step = made.next(TargetId("a"), later);
    REQUIRE(step.kind == Step::Kind::Order);
    CHECK(step.order.action == ServerOrder::Action::Load);
}

TEST_CASE("a hot adapter gets further copies, a cool one does not")
{
    auto made = planner({"a", "b", "c"});
    const auto first = made.demand(adapter(1), 0, Here, 1, Start);
    made.orderEnded(made.next(*first, Start).order, OrderOutcome::Accepted, Start);
    made.used(*first, adapter(1), Entry, 1, 1, Start);
    (void)made.takeWakeups();
    for (int i = 0; i < 30; ++i) {
        made.used(*first, adapter(1), Entry, 1, 1, Start + milliseconds(500 + 30 * i));
    }
    CHECK_FALSE(made.takeWakeups().empty());
}

TEST_CASE("an adapter on a crowded server gets another copy at a lower rate")
{
    for (const bool crowded : {false, true}) {
        auto made = planner({"a", "b", "c"});
        const auto first = made.demand(adapter(1), 0, Here, 1, Start);
        made.orderEnded(made.next(*first, Start).order, OrderOutcome::Accepted, Start);
        made.setLoad(*first, crowded ? 7 : 1);
        (void)made.takeWakeups();
        for (int i = 0; i < 8; ++i) {
            made.used(*first, adapter(1), Entry, 1, 1, Start + milliseconds(500 + 250 * i));
        }
        CHECK(made.takeWakeups().empty() == !crowded);
    }
}

TEST_CASE("an older version is replaced where it is held")
{
    auto made = planner({"a", "b"});
    const auto first = made.demand(adapter(1), 1, Here, 1, Start);
    made.orderEnded(made.next(*first, Start).order, OrderOutcome::Accepted, Start);
    made.versionNamed(adapter(1), 2, Start + seconds(1));
    const auto step = made.next(*first, Start + seconds(1));
    REQUIRE(step.kind == Step::Kind::Order);
    CHECK(step.order.action == ServerOrder::Action::Load);
    CHECK(step.order.version == 2);
}

TEST_CASE("an empty server loads a model, and no more models than the store's rate allows")
{
    AdapterPlanner made({});
    int loads = 0;
    for (int i = 0; i < 40; ++i) {
        const auto id = "s" + std::to_string(i);
        made.serverSeen(heartbeat(id), false, profile(), Start);
        (void)made.next(TargetId(id), Start);
        ServerReport empty;
        empty.startedAt = Incarnation(1);
        made.reported(heartbeat(id).identity, empty, Start, Start);
        const auto step = made.next(TargetId(id), Start);
        loads += step.kind == Step::Kind::Order ? 1 : 0;
    }
    // Three a second over the five seconds in which they are counted.
    CHECK(loads == 15);
}

TEST_CASE("an adapter whose only holder cannot be reached is loaded elsewhere")
{
    auto made = planner({"a", "b"});
    const auto first = made.demand(adapter(1), 0, Here, 1, Start);
    made.orderEnded(made.next(*first, Start).order, OrderOutcome::Accepted, Start);
    CHECK_FALSE(made.demand(adapter(1), 0, Here, 1, Start + seconds(1)).has_value());
    made.suspect(*first, Start + seconds(2));
    const auto second = made.demand(adapter(1), 0, Here, 1, Start + seconds(1));
    REQUIRE(second.has_value());
    CHECK(*second != *first);
}

TEST_CASE("the copies of an adapter are replaced by a new version one after the other")
{
    auto made = planner({"a", "b"});
    const auto first = made.demand(adapter(1), 0, Here, 1, Start);
    made.orderEnded(made.next(*first, Start).order, OrderOutcome::Accepted, Start);
    made.suspect(*first, Start + milliseconds(1));
    const auto second = made.demand(adapter(1), 0, Here, 1, Start);
    made.orderEnded(made.next(*second, Start).order, OrderOutcome::Accepted, Start);
    const auto now = Start + seconds(1);
    made.versionNamed(adapter(1), 2, now);
    int orders = 0;
    for (const auto *id : {"a", "b"}) {
        orders += made.next(TargetId(id), now).kind == Step::Kind::Order ? 1 : 0;
    }
    CHECK(orders == 1);
}

/// A server that keeps to its own rules, whatever it is ordered.
struct ModelServer
{
    std::set<std::string> held;
    std::uint64_t orders = 0;
    int places = 0;
    bool crashed = false;

    OrderOutcome take(const ServerOrder &order)
    {
        if (order.expectedOrders != orders) {
            return OrderOutcome::Conflict;
        }
        ++orders;
        if (order.action == ServerOrder::Action::Unload) {
            held.erase(order.weights.adapter);
            return OrderOutcome::Done;
        }
        held.insert(order.weights.adapter);
        crashed = crashed || static_cast<int>(held.size()) > places;
        return OrderOutcome::Accepted;
    }
    [[nodiscard]] ServerReport report() const
    {
        auto made = holdsModel({}, orders);
        for (const auto &name : held) {
            made.models[0].adapters.push_back({.adapter = name, .version = 1});
        }
        return made;
    }
};

TEST_CASE("no server is ever ordered beyond its places, although answers are lost and orders are carried out late")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        std::mt19937_64 random(seed);
        constexpr int Places = 4;
        AdapterPlanner made({});
        std::map<std::string, ModelServer> servers;
        std::vector<std::pair<TimePoint, ServerOrder>> late;
        for (const auto *id : {"a", "b", "c"}) {
            servers[id].places = Places;
            made.serverSeen(heartbeat(id), false, profile(Places), Start);
        }
        for (int tick = 0; tick < 2000; ++tick) {
            const auto now = Start + milliseconds(10 * tick);
            std::erase_if(late, [&](auto &item) {
                if (item.first > now) {
                    return false;
                }
                (void)servers[item.second.server.id.value()].take(item.second);
                return true;
            });
            if (random() % 3 == 0) {
                (void)made.demand(adapter(static_cast<int>(random() % 30)), 0, Here, 1, now);
            }
            for (auto &[id, server] : servers) {
                const auto step = made.next(TargetId(id), now);
                if (step.kind == Step::Kind::ReadState) {
                    made.reported(heartbeat(id).identity, server.report(), now, now);
                } else if (step.kind == Step::Kind::Order && random() % 4 == 0) {
                    if (random() % 2 == 0) {
                        late.emplace_back(now + milliseconds(2000 + random() % 8000), step.order);
                    }
                    made.orderEnded(step.order, OrderOutcome::Unknown, now);
                } else if (step.kind == Step::Kind::Order) {
                    made.orderEnded(step.order, server.take(step.order), now);
                }
            }
        }
        for (const auto &[id, server] : servers) {
            CAPTURE(seed);
            CHECK_FALSE(server.crashed);
            CHECK(server.orders > 20);
        }
    }
}

TEST_CASE("when more is asked for than can be loaded, the newest requests are served and none are late for the others")
{
    auto made = planner({"a"}, 12, ampleStore());
    for (int i = 1; i <= 4; ++i) {
        (void)made.demand(adapter(i), 0, Here, 1, Start);
        made.orderEnded(made.next(TargetId("a"), Start).order, OrderOutcome::Accepted, Start);
    }
    // Four are on their way; the others queue.
    (void)made.demand(adapter(5), 0, Here, 1, Start);
    const auto later = Start + milliseconds(200);
    (void)made.demand(adapter(6), 0, Here, 1, later);
    (void)made.demand(adapter(7), 0, Here, 2, later);
    (void)made.demand(adapter(5), 0, Here, 1, later);
    CHECK(made.next(TargetId("a"), later).kind == Step::Kind::Wait);
    const auto free = Start + milliseconds(300);
    std::vector<AdapterKey> order;
    for (int i = 0; i < 3; ++i) {
        const auto step = made.next(TargetId("a"), free);
        REQUIRE(step.kind == Step::Kind::Order);
        order.push_back(step.order.weights);
        made.orderEnded(step.order, OrderOutcome::Accepted, free);
    }
    CHECK(order == std::vector{adapter(7), adapter(6), adapter(5)});
}

TEST_CASE("an adapter whose requests have given up is not loaded")
{
    auto made = planner({"a"}, 12, ampleStore());
    for (int i = 1; i <= 4; ++i) {
        (void)made.demand(adapter(i), 0, Here, 1, Start);
        made.orderEnded(made.next(TargetId("a"), Start).order, OrderOutcome::Accepted, Start);
    }
    (void)made.demand(adapter(5), 0, Here, 1, Start);
    (void)made.demand(adapter(6), 0, Here, 1, Start);
    (void)made.demand(adapter(6), 0, Here, 1, Start + milliseconds(400));
    const auto later = Start + milliseconds(600);
    const auto step = made.next(TargetId("a"), later);
    REQUIRE(step.kind == Step::Kind::Order);
    CHECK(step.order.weights == adapter(6));
    made.orderEnded(step.order, OrderOutcome::Accepted, later);
    CHECK(made.next(TargetId("a"), later).kind == Step::Kind::Wait);
}

TEST_CASE("a demand at a server whose places are all in use moves to one that has room")
{
    auto made = planner({"a", "b"}, 1);
    for (const int number : {1, 2}) {
        const auto chosen = made.demand(adapter(number), 0, Here, 1, Start);
        made.orderEnded(made.next(*chosen, Start).order, OrderOutcome::Accepted, Start);
        made.used(*chosen, adapter(number), Entry, 1, 1, Start + milliseconds(260));
    }
    auto now = Start + milliseconds(700);
    const auto first = made.demand(adapter(3), 0, Here, 1, now);
    REQUIRE(first.has_value());
    const TargetId other(first->value() == "a" ? "b" : "a");
    // The other server's adapter falls idle, while that of the first stays in use.
    made.used(other, adapter(1), Entry, 0, 0, now);
    made.used(other, adapter(2), Entry, 0, 0, now);
    now += milliseconds(300);
    const auto second = made.demand(adapter(3), 0, Here, 1, now);
    REQUIRE(second.has_value());
    CHECK(*second == other);
}

TEST_CASE("a planner that begins places an adapter where a copy is in memory, if it is told")
{
    auto made = planner({"a", "b", "c"});
    made.recall(heartbeat("c").identity, {adapter(2), adapter(1)});
    made.recall(heartbeat("b", 7).identity, {adapter(1)}); // another start, whose copies are gone
    const auto chosen = made.demand(adapter(1), 0, Here, 1, Start);
    REQUIRE(chosen.has_value());
    CHECK(chosen->value() == "c");
}
