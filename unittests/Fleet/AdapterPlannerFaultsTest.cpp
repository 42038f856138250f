#include "AdapterPlannerFixture.h"

#include <map>
#include <random>
#include <set>
#include <utility>

using namespace tamarackcove;
using namespace tamarackcove::test;

/// Simulates a server that checks the expected number of orders and crashes when it holds more adapters than slots.
struct SimulatedServer
{
    std::set<std::string> held;
    std::uint64_t orders = 0;
    int slotLimit = 0;
    bool crashed = false;

    OrderOutcome take(const ServerOrder &order)
    {
        if (order.expectedAcceptedOrders != orders) {
            return OrderOutcome::Conflict;
        }
        ++orders;
        if (order.action == ServerOrder::Action::Unload) {
            held.erase(order.weights.adapter);
            return OrderOutcome::Done;
        }
        held.insert(order.weights.adapter);
        crashed = crashed || static_cast<int>(held.size()) > slotLimit;
        return OrderOutcome::Accepted;
    }
    [[nodiscard]] ServerReport report() const
    {
        auto state = stateWithModel({}, orders);
        for (const auto &name : held) {
            state.models[0].adapters.push_back({.adapter = name, .version = 1});
        }
        return state;
    }
};

TEST_CASE("no server is ordered to hold more adapters than slots when answers are lost and orders arrive late")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        std::mt19937_64 random(seed);
        constexpr int SlotLimit = 4;
        AdapterPlanner adapterPlanner({});
        std::map<std::string, SimulatedServer> servers;
        std::vector<std::pair<TimePoint, ServerOrder>> delayedOrders;
        for (const auto *id : {"a", "b", "c"}) {
            servers[id].slotLimit = SlotLimit;
            adapterPlanner.updateServer(heartbeat(id), false, profile(SlotLimit), Start);
        }
        for (int tick = 0; tick < 2000; ++tick) {
            const auto now = Start + milliseconds(10 * tick);
            std::erase_if(delayedOrders, [&](auto &item) {
                if (item.first > now) {
                    return false;
                }
                (void)servers[item.second.server.id.value()].take(item.second);
                return true;
            });
            if (random() % 3 == 0) {
                (void)adapterPlanner.requestLoad(adapter(static_cast<int>(random() % 30)), 0, LocalZone, 1, now);
            }
            for (auto &[id, server] : servers) {
                const auto step = adapterPlanner.nextStep(TargetId(id), now);
                if (step.kind == Step::Kind::ReadState) {
                    adapterPlanner.applyReport(heartbeat(id).identity, server.report(), now, now);
                } else if (step.kind == Step::Kind::Order && random() % 4 == 0) {
                    if (random() % 2 == 0) {
                        delayedOrders.emplace_back(now + milliseconds(2000 + random() % 8000), step.order);
                    }
                    adapterPlanner.applyOrderOutcome(step.order, OrderOutcome::Unknown, now);
                } else if (step.kind == Step::Kind::Order) {
                    adapterPlanner.applyOrderOutcome(step.order, server.take(step.order), now);
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
