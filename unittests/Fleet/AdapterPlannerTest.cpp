#include "AdapterPlannerFixture.h"

using namespace tamarackcove;
using namespace tamarackcove::test;

TEST_CASE("the state of a server is read before the first order to it")
{
    AdapterPlanner adapterPlanner({});
    adapterPlanner.updateServer(heartbeat("a"), false, profile(), Start);
    CHECK_FALSE(adapterPlanner.requestLoad(adapter(1), 0, LocalZone, 1, Start).has_value());
    CHECK(adapterPlanner.nextStep(TargetId("a"), Start).kind == Step::Kind::ReadState);
}

TEST_CASE("an adapter that several entries ask for is loaded once")
{
    auto adapterPlanner = makePlanner({"a", "b"});
    const auto chosen = adapterPlanner.requestLoad(adapter(1), 0, LocalZone, 1, Start);
    REQUIRE(chosen.has_value());
    CHECK_FALSE(adapterPlanner.requestLoad(adapter(1), 0, LocalZone, 1, Start).has_value());
    const auto step = adapterPlanner.nextStep(*chosen, Start);
    REQUIRE(step.kind == Step::Kind::Order);
    CHECK(step.order.action == ServerOrder::Action::Load);
    CHECK(step.order.expectedAcceptedOrders == 0);
    adapterPlanner.applyOrderOutcome(step.order, OrderOutcome::Accepted, Start);
    CHECK_FALSE(adapterPlanner.requestLoad(adapter(1), 0, LocalZone, 1, Start + seconds(1)).has_value());
}

TEST_CASE("an adapter that many requests wait for is loaded by several servers")
{
    auto adapterPlanner = makePlanner({"a", "b", "c"});
    const auto first = adapterPlanner.requestLoad(adapter(1), 0, LocalZone, 5, Start);
    const auto second = adapterPlanner.requestLoad(adapter(1), 0, LocalZone, 5, Start);
    REQUIRE(first.has_value());
    REQUIRE(second.has_value());
    CHECK(*first != *second);
    CHECK_FALSE(adapterPlanner.requestLoad(adapter(1), 0, LocalZone, 5, Start).has_value());
}

TEST_CASE("an adapter is loaded on another server when the only server that holds it has failed its request")
{
    auto adapterPlanner = makePlanner({"a", "b"});
    const auto first = adapterPlanner.requestLoad(adapter(1), 0, LocalZone, 1, Start);
    adapterPlanner.applyOrderOutcome(adapterPlanner.nextStep(*first, Start).order, OrderOutcome::Accepted, Start);
    CHECK_FALSE(adapterPlanner.requestLoad(adapter(1), 0, LocalZone, 1, Start + seconds(1)).has_value());
    const auto second = adapterPlanner.requestLoad(adapter(1), 0, LocalZone, 1, Start + seconds(1), 1);
    REQUIRE(second.has_value());
    CHECK(*second != *first);
}

TEST_CASE("an order names the number of orders that the server has accepted before")
{
    auto adapterPlanner = makePlanner({"a"});
    (void)adapterPlanner.requestLoad(adapter(1), 0, LocalZone, 1, Start);
    auto step = adapterPlanner.nextStep(TargetId("a"), Start);
    adapterPlanner.applyOrderOutcome(step.order, OrderOutcome::Accepted, Start);
    (void)adapterPlanner.requestLoad(adapter(2), 0, LocalZone, 1, Start);
    step = adapterPlanner.nextStep(TargetId("a"), Start);
    REQUIRE(step.kind == Step::Kind::Order);
    CHECK(step.order.expectedAcceptedOrders == 1);
}

TEST_CASE("a full server unloads the adapter with the fewest requests that is not in use")
{
    auto adapterPlanner = makePlanner({"a"}, 2);
    TimePoint now = Start;
    for (const int number : {1, 2}) {
        (void)adapterPlanner.requestLoad(adapter(number), 0, LocalZone, 1, now);
        const auto step = adapterPlanner.nextStep(TargetId("a"), now);
        adapterPlanner.applyOrderOutcome(step.order, OrderOutcome::Accepted, now);
    }
    now += seconds(1);
    adapterPlanner.recordUse(TargetId("a"), adapter(1), Entry, 1, 1, now);
    adapterPlanner.recordUse(TargetId("a"), adapter(2), Entry, 5, 0, now);
    now += seconds(1);
    (void)adapterPlanner.requestLoad(adapter(3), 0, LocalZone, 1, now);
    auto step = adapterPlanner.nextStep(TargetId("a"), now);
    REQUIRE(step.kind == Step::Kind::Order);
    CHECK(step.order.action == ServerOrder::Action::Unload);
    CHECK(step.order.weights == adapter(2));
    adapterPlanner.applyOrderOutcome(step.order, OrderOutcome::Done, now);
    step = adapterPlanner.nextStep(TargetId("a"), now);
    CHECK(step.order.action == ServerOrder::Action::Load);
    CHECK(step.order.weights == adapter(3));
}

TEST_CASE("an adapter that has just been loaded is not evicted before its waiting requests can be sent")
{
    auto adapterPlanner = makePlanner({"a"}, 1);
    (void)adapterPlanner.requestLoad(adapter(1), 0, LocalZone, 1, Start);
    adapterPlanner.applyOrderOutcome(adapterPlanner.nextStep(TargetId("a"), Start).order, OrderOutcome::Accepted,
                                     Start);
    const auto ready = Start + AdapterPlanner::Options{}.storeLoadTime.initial;
    (void)adapterPlanner.requestLoad(adapter(2), 0, LocalZone, 1, ready + milliseconds(100));
    CHECK(adapterPlanner.nextStep(TargetId("a"), ready + milliseconds(100)).kind == Step::Kind::Wait);
}

TEST_CASE("a server gets no order while its unload waits for requests in progress")
{
    auto adapterPlanner = makePlanner({"a"}, 1);
    (void)adapterPlanner.requestLoad(adapter(1), 0, LocalZone, 1, Start);
    adapterPlanner.applyOrderOutcome(adapterPlanner.nextStep(TargetId("a"), Start).order, OrderOutcome::Accepted,
                                     Start);
    auto now = Start + seconds(3);
    (void)adapterPlanner.requestLoad(adapter(2), 0, LocalZone, 1, now);
    auto step = adapterPlanner.nextStep(TargetId("a"), now);
    REQUIRE(step.order.action == ServerOrder::Action::Unload);
    adapterPlanner.applyOrderOutcome(step.order, OrderOutcome::Accepted, now);
    CHECK(adapterPlanner.nextStep(TargetId("a"), now).kind == Step::Kind::Wait);
    now += milliseconds(500);
    CHECK(adapterPlanner.nextStep(TargetId("a"), now).kind == Step::Kind::ReadState);
    adapterPlanner.applyReport(step.order.server, stateWithModel({}, 2), now, now);
    (void)adapterPlanner.requestLoad(adapter(2), 0, LocalZone, 1, now);
    step = adapterPlanner.nextStep(TargetId("a"), now);
    REQUIRE(step.kind == Step::Kind::Order);
    CHECK(step.order.action == ServerOrder::Action::Load);
    CHECK(step.order.expectedAcceptedOrders == 2);
}

TEST_CASE("an adapter can be evicted when the entry whose requests used it is gone")
{
    auto adapterPlanner = makePlanner({"a"}, 1);
    (void)adapterPlanner.requestLoad(adapter(1), 0, LocalZone, 1, Start);
    adapterPlanner.applyOrderOutcome(adapterPlanner.nextStep(TargetId("a"), Start).order, OrderOutcome::Accepted,
                                     Start);
    adapterPlanner.recordUse(TargetId("a"), adapter(1), Entry, 1, 1, Start);
    const auto later = Start + seconds(2);
    (void)adapterPlanner.requestLoad(adapter(2), 0, LocalZone, 1, later);
    CHECK(adapterPlanner.nextStep(TargetId("a"), later).kind == Step::Kind::Wait);
    adapterPlanner.removeEntry(Entry);
    CHECK(adapterPlanner.nextStep(TargetId("a"), later).kind == Step::Kind::Order);
}

TEST_CASE("an unanswered load keeps its slot and is ordered again before any other load")
{
    auto adapterPlanner = makePlanner({"a"}, 1);
    (void)adapterPlanner.requestLoad(adapter(1), 0, LocalZone, 1, Start);
    const auto order = adapterPlanner.nextStep(TargetId("a"), Start).order;
    adapterPlanner.applyOrderOutcome(order, OrderOutcome::Unknown, Start);
    (void)adapterPlanner.requestLoad(adapter(2), 0, LocalZone, 1, Start);
    auto step = adapterPlanner.nextStep(TargetId("a"), Start);
    REQUIRE(step.kind == Step::Kind::Order);
    CHECK(step.order.action == ServerOrder::Action::Load);
    CHECK(step.order.weights == adapter(1));
    // Both orders expect the same number of accepted orders, so the server refuses the one that arrives second.
    CHECK(step.order.expectedAcceptedOrders == order.expectedAcceptedOrders);
    adapterPlanner.applyOrderOutcome(step.order, OrderOutcome::Unknown, Start);
    step = adapterPlanner.nextStep(TargetId("a"), Start);
    adapterPlanner.applyOrderOutcome(step.order, OrderOutcome::Unknown, Start);
    CHECK(adapterPlanner.nextStep(TargetId("a"), Start).kind == Step::Kind::Wait);
    const auto later = Start + seconds(1);
    CHECK(adapterPlanner.nextStep(TargetId("a"), later).kind == Step::Kind::ReadState);
    adapterPlanner.applyReport(order.server, stateWithModel(), later, later);
    (void)adapterPlanner.requestLoad(adapter(2), 0, LocalZone, 1, later);
    step = adapterPlanner.nextStep(TargetId("a"), later);
    REQUIRE(step.kind == Step::Kind::Order);
    CHECK(step.order.action == ServerOrder::Action::Load);
}

// Guards against a server that crashes because it is ordered to load more adapters than it has slots: a predecessor's
// last order may not show in the first state that a new leader reads.
TEST_CASE("an unanswered load is not ordered again while the server holds more adapters than were known")
{
    auto adapterPlanner = makePlanner({"a"}, 2);
    const TargetId server("a");
    const auto identity = heartbeat("a").identity;
    adapterPlanner.applyReport(identity, stateWithModel({1}, 1), Start, Start);
    REQUIRE(adapterPlanner.requestLoad(adapter(2), 0, LocalZone, 1, Start).has_value());
    auto now = Start;
    auto step = adapterPlanner.nextStep(server, now);
    while (step.kind == Step::Kind::Order) {
        REQUIRE(step.order.weights == adapter(2));
        now += milliseconds(120);
        adapterPlanner.applyOrderOutcome(step.order, OrderOutcome::Unknown, now);
        step = adapterPlanner.nextStep(server, now);
    }
    // The state now shows adapter 3, which the predecessor had ordered: both slots are taken.
    now += milliseconds(250);
    REQUIRE(adapterPlanner.nextStep(server, now).kind == Step::Kind::ReadState);
    adapterPlanner.applyReport(identity, stateWithModel({1, 3}, 2), now, now);
    step = adapterPlanner.nextStep(server, now);
    REQUIRE(step.kind == Step::Kind::Order);
    CHECK(step.order.action == ServerOrder::Action::Unload);
    adapterPlanner.applyOrderOutcome(step.order, OrderOutcome::Done, now);
    (void)adapterPlanner.requestLoad(adapter(2), 0, LocalZone, 1, now);
    step = adapterPlanner.nextStep(server, now);
    REQUIRE(step.kind == Step::Kind::Order);
    CHECK(step.order.action == ServerOrder::Action::Load);
    CHECK(step.order.weights == adapter(2));
}

TEST_CASE("an adapter with a high request rate gets another copy")
{
    auto adapterPlanner = makePlanner({"a", "b", "c"});
    const auto first = adapterPlanner.requestLoad(adapter(1), 0, LocalZone, 1, Start);
    adapterPlanner.applyOrderOutcome(adapterPlanner.nextStep(*first, Start).order, OrderOutcome::Accepted, Start);
    adapterPlanner.recordUse(*first, adapter(1), Entry, 1, 1, Start);
    (void)adapterPlanner.takeWakeups();
    for (int i = 0; i < 30; ++i) {
        adapterPlanner.recordUse(*first, adapter(1), Entry, 1, 1, Start + milliseconds(500 + 30 * i));
    }
    CHECK_FALSE(adapterPlanner.takeWakeups().empty());
}

TEST_CASE("an adapter gets another copy at a lower request rate when its server has a high load")
{
    for (const bool crowded : {false, true}) {
        auto adapterPlanner = makePlanner({"a", "b", "c"});
        const auto first = adapterPlanner.requestLoad(adapter(1), 0, LocalZone, 1, Start);
        adapterPlanner.applyOrderOutcome(adapterPlanner.nextStep(*first, Start).order, OrderOutcome::Accepted, Start);
        adapterPlanner.setLoad(*first, crowded ? 7 : 1);
        (void)adapterPlanner.takeWakeups();
        for (int i = 0; i < 8; ++i) {
            adapterPlanner.recordUse(*first, adapter(1), Entry, 1, 1, Start + milliseconds(500 + 250 * i));
        }
        CHECK(adapterPlanner.takeWakeups().empty() == !crowded);
    }
}

TEST_CASE("a new version is loaded on the server that holds the older one")
{
    auto adapterPlanner = makePlanner({"a", "b"});
    const auto first = adapterPlanner.requestLoad(adapter(1), 1, LocalZone, 1, Start);
    adapterPlanner.applyOrderOutcome(adapterPlanner.nextStep(*first, Start).order, OrderOutcome::Accepted, Start);
    adapterPlanner.setNewestVersion(adapter(1), 2, Start + seconds(1));
    const auto step = adapterPlanner.nextStep(*first, Start + seconds(1));
    REQUIRE(step.kind == Step::Kind::Order);
    CHECK(step.order.action == ServerOrder::Action::Load);
    CHECK(step.order.version == 2);
}

TEST_CASE("empty servers load a model, at most as many as the rate limit of the store allows")
{
    AdapterPlanner adapterPlanner({});
    int loads = 0;
    for (int i = 0; i < 40; ++i) {
        const auto id = "s" + std::to_string(i);
        adapterPlanner.updateServer(heartbeat(id), false, profile(), Start);
        (void)adapterPlanner.nextStep(TargetId(id), Start);
        ServerReport empty;
        empty.startedAt = Incarnation(1);
        adapterPlanner.applyReport(heartbeat(id).identity, empty, Start, Start);
        const auto step = adapterPlanner.nextStep(TargetId(id), Start);
        loads += step.kind == Step::Kind::Order ? 1 : 0;
    }
    // The limit is three model loads a second, counted over a period of five seconds.
    CHECK(loads == 15);
}

TEST_CASE("an adapter is loaded on another server when the only server that holds it is unreachable")
{
    auto adapterPlanner = makePlanner({"a", "b"});
    const auto first = adapterPlanner.requestLoad(adapter(1), 0, LocalZone, 1, Start);
    adapterPlanner.applyOrderOutcome(adapterPlanner.nextStep(*first, Start).order, OrderOutcome::Accepted, Start);
    CHECK_FALSE(adapterPlanner.requestLoad(adapter(1), 0, LocalZone, 1, Start + seconds(1)).has_value());
    adapterPlanner.markUnreachable(*first, Start + seconds(2));
    const auto second = adapterPlanner.requestLoad(adapter(1), 0, LocalZone, 1, Start + seconds(1));
    REQUIRE(second.has_value());
    CHECK(*second != *first);
}

TEST_CASE("a new version replaces the copies of an adapter one after another")
{
    auto adapterPlanner = makePlanner({"a", "b"});
    const auto first = adapterPlanner.requestLoad(adapter(1), 0, LocalZone, 1, Start);
    adapterPlanner.applyOrderOutcome(adapterPlanner.nextStep(*first, Start).order, OrderOutcome::Accepted, Start);
    adapterPlanner.markUnreachable(*first, Start + milliseconds(1));
    const auto second = adapterPlanner.requestLoad(adapter(1), 0, LocalZone, 1, Start);
    adapterPlanner.applyOrderOutcome(adapterPlanner.nextStep(*second, Start).order, OrderOutcome::Accepted, Start);
    const auto now = Start + seconds(1);
    adapterPlanner.setNewestVersion(adapter(1), 2, now);
    int orders = 0;
    for (const auto *id : {"a", "b"}) {
        orders += adapterPlanner.nextStep(TargetId(id), now).kind == Step::Kind::Order ? 1 : 0;
    }
    CHECK(orders == 1);
}

TEST_CASE("under overload, adapters are loaded in order of their waiting requests and then of the newest request")
{
    auto adapterPlanner = makePlanner({"a"}, 12, unlimitedStoreWindow());
    for (int i = 1; i <= 4; ++i) {
        (void)adapterPlanner.requestLoad(adapter(i), 0, LocalZone, 1, Start);
        adapterPlanner.applyOrderOutcome(adapterPlanner.nextStep(TargetId("a"), Start).order, OrderOutcome::Accepted,
                                         Start);
    }
    // Four loads are in progress, the limit of one server; the following ones are queued.
    (void)adapterPlanner.requestLoad(adapter(5), 0, LocalZone, 1, Start);
    const auto later = Start + milliseconds(200);
    (void)adapterPlanner.requestLoad(adapter(6), 0, LocalZone, 1, later);
    (void)adapterPlanner.requestLoad(adapter(7), 0, LocalZone, 2, later);
    (void)adapterPlanner.requestLoad(adapter(5), 0, LocalZone, 1, later);
    CHECK(adapterPlanner.nextStep(TargetId("a"), later).kind == Step::Kind::Wait);
    const auto free = Start + milliseconds(300);
    std::vector<AdapterKey> order;
    for (int i = 0; i < 3; ++i) {
        const auto step = adapterPlanner.nextStep(TargetId("a"), free);
        REQUIRE(step.kind == Step::Kind::Order);
        order.push_back(step.order.weights);
        adapterPlanner.applyOrderOutcome(step.order, OrderOutcome::Accepted, free);
    }
    CHECK(order == std::vector{adapter(7), adapter(6), adapter(5)});
}

TEST_CASE("an adapter is not loaded when its waiting requests have given up")
{
    auto adapterPlanner = makePlanner({"a"}, 12, unlimitedStoreWindow());
    for (int i = 1; i <= 4; ++i) {
        (void)adapterPlanner.requestLoad(adapter(i), 0, LocalZone, 1, Start);
        adapterPlanner.applyOrderOutcome(adapterPlanner.nextStep(TargetId("a"), Start).order, OrderOutcome::Accepted,
                                         Start);
    }
    (void)adapterPlanner.requestLoad(adapter(5), 0, LocalZone, 1, Start);
    (void)adapterPlanner.requestLoad(adapter(6), 0, LocalZone, 1, Start);
    (void)adapterPlanner.requestLoad(adapter(6), 0, LocalZone, 1, Start + milliseconds(400));
    const auto later = Start + milliseconds(600);
    const auto step = adapterPlanner.nextStep(TargetId("a"), later);
    REQUIRE(step.kind == Step::Kind::Order);
    CHECK(step.order.weights == adapter(6));
    adapterPlanner.applyOrderOutcome(step.order, OrderOutcome::Accepted, later);
    CHECK(adapterPlanner.nextStep(TargetId("a"), later).kind == Step::Kind::Wait);
}

TEST_CASE("a queued load moves to another server when all slots of its server stay in use")
{
    auto adapterPlanner = makePlanner({"a", "b"}, 1);
    for (const int number : {1, 2}) {
        const auto chosen = adapterPlanner.requestLoad(adapter(number), 0, LocalZone, 1, Start);
        adapterPlanner.applyOrderOutcome(adapterPlanner.nextStep(*chosen, Start).order, OrderOutcome::Accepted, Start);
        adapterPlanner.recordUse(*chosen, adapter(number), Entry, 1, 1, Start + milliseconds(260));
    }
    auto now = Start + milliseconds(700);
    const auto first = adapterPlanner.requestLoad(adapter(3), 0, LocalZone, 1, now);
    REQUIRE(first.has_value());
    const TargetId other(first->value() == "a" ? "b" : "a");
    // The adapter of the other server becomes idle, while that of the first server stays in use.
    adapterPlanner.recordUse(other, adapter(1), Entry, 0, 0, now);
    adapterPlanner.recordUse(other, adapter(2), Entry, 0, 0, now);
    now += milliseconds(300);
    const auto second = adapterPlanner.requestLoad(adapter(3), 0, LocalZone, 1, now);
    REQUIRE(second.has_value());
    CHECK(*second == other);
}

TEST_CASE("a new planner loads an adapter on the server that has a copy of it in memory")
{
    auto adapterPlanner = makePlanner({"a", "b", "c"});
    adapterPlanner.addCachedAdapters(heartbeat("c").identity, {adapter(2), adapter(1)});
    adapterPlanner.addCachedAdapters(heartbeat("b", 7).identity,
                                     {adapter(1)}); // another start of the server, whose copies are gone
    const auto chosen = adapterPlanner.requestLoad(adapter(1), 0, LocalZone, 1, Start);
    REQUIRE(chosen.has_value());
    CHECK(chosen->value() == "c");
}
