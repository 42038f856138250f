#include "AllowanceSimulation.h"

#include <cmath>
#include <doctest/doctest.h>

using namespace tamarackcove;
using namespace tamarackcove::test;

namespace {

constexpr std::size_t Entries = 70;
constexpr double UsualUse = 0.55;
/// A short peak of a large workspace is 1.5 times its allowance.
constexpr double PeakFactor = 1.5 / UsualUse;
constexpr double SmallRate = 29000;
constexpr double LargeRate = 200000;
constexpr std::size_t LargeWorkspaces = 3;
constexpr std::size_t SmallWorkspaces = 13;

/// A few large workspaces and many small ones. The large ones come first.
void addWorkspaces(AllowanceSimulation &simulation)
{
    for (std::size_t i = 0; i < LargeWorkspaces + SmallWorkspaces; ++i) {
        simulation.addCustomer("w" + std::to_string(i), i < LargeWorkspaces ? LargeRate : SmallRate, UsualUse);
    }
}

void checkFewRefused(const AllowanceSimulation &simulation, std::size_t from)
{
    AllowanceSimulation::Counts large;
    for (std::size_t i = from; i < simulation.customers.size(); ++i) {
        const auto &customer = simulation.customers[i];
        CAPTURE(customer.workspace.name.value());
        MESSAGE(customer.workspace.name.value()
                << ": refused " << 100 * customer.ordinary.refusedPart() << " % of ordinary and "
                << 100 * customer.large.refusedPart() << " % of large requests");
        CHECK(customer.refusedPart() <= 0.03);
        large.asked += customer.large.asked;
        large.served += customer.large.served;
    }
    // Of all workspaces together, because each has few.
    CHECK(large.refusedPart() <= 0.03);
}

} // namespace

// Guards against shares that are too small for a request, or at the wrong entries: a small workspace has 414 tokens a
// second at each of 70 entries, and a large request costs 9,200.
TEST_CASE("in ordinary load few requests are refused, at uneven entries and of any size")
{
    AllowanceSimulation simulation(Entries);
    addWorkspaces(simulation);
    simulation.run(seconds(3));
    for (auto &customer : simulation.customers) {
        customer.resetCounts();
    }
    for (int i = 0; i < 5; ++i) {
        simulation.run(milliseconds(3600));
        simulation.customers.front().requestRate *= PeakFactor;
        simulation.run(milliseconds(400));
        simulation.customers.front().requestRate /= PeakFactor;
    }
    checkFewRefused(simulation, 0);
}

// Guards against a workspace that uses up what others need, against decisions that depend on the size of a request or
// on its entry, and against more than the allowance in a window.
TEST_CASE("a workspace at nine times its load is served its allowance, evenly over sizes and entries")
{
    AllowanceSimulation simulation(Entries);
    addWorkspaces(simulation);
    simulation.run(seconds(10));
    for (auto &customer : simulation.customers) {
        customer.resetCounts();
    }
    auto &loud = simulation.customers.front();
    loud.requestRate *= 9;
    simulation.run(milliseconds(6500));
    checkFewRefused(simulation, 1);
    MESSAGE("served " << loud.ordinary.servedPart() << " of ordinary and " << loud.large.servedPart()
                      << " of large requests");
    CHECK(loud.large.servedPart() >= 0.5 * loud.ordinary.servedPart());
    CHECK(loud.ordinary.servedPart() >= 0.5 * loud.large.servedPart());
    const auto used = AllowanceSimulation::maxInWindow(loud, seconds(8));
    CHECK(used <= 9 * LargeRate + AllowanceSimulation::LargeCost);
    CHECK(used >= 0.75 * 8 * LargeRate);
    const auto mean = 1 - loud.refusedPart();
    double deviation = 0;
    double expected = 0;
    for (const auto &entry : loud.byEntry) {
        deviation += std::pow(entry.served - mean * entry.asked, 2);
        expected += mean * (1 - mean) * entry.asked;
    }
    MESSAGE("variance over entries " << deviation / expected << " times that of independent draws");
    CHECK(deviation / expected <= 5);
}

// Guards against a request that is larger than the burst of the allowance and therefore never served.
TEST_CASE("the largest requests are served at an entry that has served none before")
{
    AllowanceSimulation simulation(Entries);
    const auto index = simulation.addCustomer("w", SmallRate, 0);
    simulation.run(seconds(5));
    CHECK(simulation.call(index, 0, 9200));
    simulation.run(seconds(2));
    CHECK(simulation.call(index, 1, 40000));
    simulation.run(seconds(3));
    CHECK(simulation.call(index, 2, 500));
    // Beyond the burst and the reserves.
    CHECK_FALSE(simulation.call(index, 3, 400000));
}

// Guards against work of the leader that grows with requests: it may grow with workspaces and entries that report.
TEST_CASE("the work of the leader is bounded by workspaces and entries, not by requests")
{
    constexpr double Seconds = 10;
    for (const std::size_t entries : {std::size_t(87), std::size_t(200)}) {
        CAPTURE(entries);
        std::vector<double> visits;
        for (const double factor : {1.0, 7.5, 30.0}) {
            AllowanceSimulation simulation(entries);
            addWorkspaces(simulation);
            for (auto &customer : simulation.customers) {
                customer.requestRate *= factor;
            }
            simulation.run(seconds(5));
            const auto before = simulation.ledger().visits();
            const auto reportsBefore = simulation.reports();
            simulation.run(seconds(static_cast<int>(Seconds)));
            visits.push_back(static_cast<double>(simulation.ledger().visits() - before) / Seconds);
            MESSAGE(entries << " entries, load " << factor << ": " << visits.back() << " visits and "
                            << static_cast<double>(simulation.reports() - reportsBefore) / Seconds
                            << " reports a second");
        }
        const auto workspaces = static_cast<double>(LargeWorkspaces + SmallWorkspaces);
        for (const auto each : visits) {
            CHECK(each <= 25 * workspaces * static_cast<double>(entries));
        }
        CHECK(visits.back() <= 1.5 * visits.front());
    }
}
