#include "AllowanceSimulation.h"

#include <doctest/doctest.h>

using namespace tamarackcove;
using namespace tamarackcove::test;

namespace {

constexpr seconds Window{8};
constexpr double Slack = 110000;
constexpr std::size_t Entries = 70;
/// Usual use of an allowance.
constexpr double UsualUse = 0.55;
/// 7.5 times the usual load.
constexpr double PeakUse = 7.5 * UsualUse;

/// The limit in a window, with the reserves for failures.
double bound(double rate, double burst)
{
    return (rate * std::chrono::duration<double>(Window).count() + burst) * 1.1 + Slack;
}

/// A workspace whose load rises to 7.5 times the usual one, some time before the failure or together with it.
struct Load
{
    double rate = 0;
    double use = 0;
    seconds peakTime{0};
};

std::vector<Load> loads()
{
    return {{29000, UsualUse, seconds(4)},
            {250000, UsualUse, seconds(4)},
            {29000, 0.1, seconds(0)},
            {250000, 0.1, seconds(0)}};
}

/// What fails while requests arrive.
struct Failure
{
    std::string name;
    std::function<void(AllowanceSimulation &)> play;
};

std::vector<Failure> failures()
{
    return {
        {"a third of the entries is cut off for 5 s",
         [](AllowanceSimulation &simulation) {
             simulation.cutEntries(0, Entries / 3, true);
             simulation.run(seconds(5));
             simulation.cutEntries(0, Entries / 3, false);
             simulation.run(seconds(5));
         }},
        {"half of the entries are killed",
         [](AllowanceSimulation &simulation) {
             simulation.killEntries(0, Entries / 2);
             simulation.run(seconds(12));
         }},
        {"half of the entries restart",
         [](AllowanceSimulation &simulation) {
             simulation.restartEntries(0, Entries / 2);
             simulation.run(seconds(10));
         }},
        {"no leader for 10 s",
         [](AllowanceSimulation &simulation) {
             simulation.loseLeader();
             simulation.run(seconds(10));
             simulation.startLeader();
             simulation.run(seconds(5));
         }},
        {"no leader for 4 s",
         [](AllowanceSimulation &simulation) {
             simulation.loseLeader();
             simulation.run(seconds(4));
             simulation.startLeader();
             simulation.run(seconds(6));
         }},
        {"half of the entries and the leader are killed, a new leader follows after 0.5 s",
         [](AllowanceSimulation &simulation) {
             simulation.killEntries(0, Entries / 2);
             simulation.loseLeader();
             simulation.run(milliseconds(500));
             simulation.startLeader();
             simulation.run(seconds(12));
         }},
        {"a third is cut off and the leader is replaced",
         [](AllowanceSimulation &simulation) {
             simulation.cutEntries(0, Entries / 3, true);
             simulation.loseLeader();
             simulation.run(milliseconds(500));
             simulation.startLeader();
             simulation.run(seconds(5));
             simulation.cutEntries(0, Entries / 3, false);
             simulation.run(seconds(5));
         }},
        {"leaders follow one another every second",
         [](AllowanceSimulation &simulation) {
             for (int i = 0; i < 8; ++i) {
                 simulation.loseLeader();
                 simulation.run(milliseconds(300));
                 simulation.startLeader();
                 simulation.run(milliseconds(700));
             }
             simulation.run(seconds(5));
         }},
        {"entries are added",
         [](AllowanceSimulation &simulation) {
             simulation.addEntries(Entries / 4);
             simulation.run(seconds(10));
         }},
    };
}

} // namespace

// Guards against shares that are used twice: by an entry that is cut off or was killed and by those that replace it, by
// entries and the pool of the leader, and under two leaders. The load is 7.5 times the usual one.
TEST_CASE("no failure lets more through in a window than the allowance and the reserves")
{
    for (const auto &failure : failures()) {
        for (const auto &load : loads()) {
            CAPTURE(failure.name);
            CAPTURE(load.rate);
            AllowanceSimulation simulation(Entries);
            const auto index = simulation.addCustomer("w", load.rate, load.use);
            simulation.run(seconds(10));
            simulation.customers[index].requestRate *= PeakUse / load.use;
            simulation.run(load.peakTime);
            failure.play(simulation);
            const auto most = AllowanceSimulation::maxInWindow(simulation.customers[index], Window);
            MESSAGE(failure.name << ", rate " << load.rate << ": " << most / bound(load.rate, load.rate)
                                 << " of the bound");
            CHECK(most <= bound(load.rate, load.rate));
        }
    }
}

// Guards against callers that are refused although their workspace uses little more than half of its allowance. The sum
// over several runs counts, because a small workspace has 20 requests a second, and a few large ones may by chance use
// up its allowance for some seconds.
TEST_CASE("below the limit a failure leads to few refusals")
{
    constexpr unsigned Runs = 4;
    for (const auto &failure : failures()) {
        for (const double rate : {29000.0, 250000.0}) {
            CAPTURE(failure.name);
            CAPTURE(rate);
            AllowanceSimulation::Counts ordinary;
            AllowanceSimulation::Counts large;
            for (unsigned seed = 1; seed <= Runs; ++seed) {
                AllowanceSimulation simulation(Entries, seed);
                const auto index = simulation.addCustomer("w", rate, UsualUse);
                simulation.run(seconds(10));
                simulation.customers[index].resetCounts();
                failure.play(simulation);
                ordinary += simulation.customers[index].ordinary;
                large += simulation.customers[index].large;
            }
            MESSAGE(failure.name << ", rate " << rate << ": refused " << 100 * ordinary.refusedPart()
                                 << " % of ordinary and " << 100 * large.refusedPart() << " % of large requests");
            auto all = ordinary;
            all += large;
            CHECK(all.refusedPart() <= 0.05);
        }
    }
}

// Guards against a lower limit that is not kept one window after it is known, and against a raised one that is not
// used.
TEST_CASE("a changed limit is in force a window later")
{
    constexpr double Rate = 100000;
    AllowanceSimulation simulation(Entries);
    const auto index = simulation.addCustomer("w", Rate, PeakUse);
    auto &customer = simulation.customers[index];
    const auto setRate = [&](double rate) {
        customer.workspace.allowance->ratePerSecond = rate;
        customer.workspace.allowance->burst = rate;
        simulation.publishConfiguration();
    };
    simulation.run(seconds(10));
    simulation.cutEntries(0, Entries / 3, true);
    setRate(Rate / 4);
    simulation.run(seconds(5));
    simulation.cutEntries(0, Entries / 3, false);
    simulation.run(seconds(3));
    customer.servedUnits.clear();
    simulation.run(seconds(10));
    CHECK(AllowanceSimulation::maxInWindow(customer, Window) <= bound(Rate / 4, Rate / 4));
    setRate(Rate);
    simulation.run(seconds(2));
    customer.servedUnits.clear();
    simulation.run(seconds(8));
    const auto most = AllowanceSimulation::maxInWindow(customer, Window);
    CHECK(most <= bound(Rate, Rate));
    CHECK(most >= 0.8 * Rate * 8);
}
