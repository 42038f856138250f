#include "tamarackcove/Fleet/StoreLoadWindow.h"

#include <doctest/doctest.h>
#include <vector>

using namespace tamarackcove;

static constexpr TimePoint Start{std::chrono::hours(1)};
static constexpr milliseconds LoadTime{255};

/// Simulates a store that serves a number of loads at full speed and shares its bandwidth among more.
class SimulatedStore
{
public:
    SimulatedStore(std::size_t fullSpeed, milliseconds time)
        : m_fullSpeed(fullSpeed)
        , m_time(time)
    {
    }

    /// Keeps the window full with loads for the given time. Returns the number of loads that ended.
    int runSaturated(StoreLoadWindow &loads, milliseconds length)
    {
        constexpr milliseconds Step{1};
        int ended = 0;
        const auto end = m_now + length;
        for (; m_now < end; m_now += Step) {
            while (!loads.isFull(m_running.size())) {
                m_running.push_back({.left = std::chrono::duration<double, std::milli>(m_time).count(),
                                     .expectedAt = m_now + LoadTime});
            }
            const auto oversubscription = static_cast<double>(m_running.size()) / static_cast<double>(m_fullSpeed);
            for (auto &load : m_running) {
                load.left -= 1 / std::max(1.0, oversubscription);
                probe(loads, load);
            }
            // A load is removed once it has ended and its first request has been sent.
            ended += static_cast<int>(
                std::erase_if(m_running, [&](const Load &load) { return load.left <= 0 && m_now > load.expectedAt; }));
        }
        return ended;
    }

private:
    struct Load
    {
        double left = 0;
        TimePoint expectedAt;
        int refusals = 0;
    };

    /// Sends a request at the expected end of the load and repeats it at growing intervals while the load is in
    /// progress.
    void probe(StoreLoadWindow &loads, Load &load) const
    {
        constexpr milliseconds RetryPause{35};
        const auto requestAt = load.expectedAt + RetryPause * (load.refusals * (load.refusals + 1) / 2);
        if (m_now != requestAt) {
            return;
        }
        if (load.left > 0) {
            ++load.refusals;
            loads.recordLate(duration_cast<milliseconds>(m_now - load.expectedAt), m_running.size(), m_now);
        } else if (load.refusals == 0) {
            loads.recordOnTime(m_running.size(), m_now);
        }
    }

    std::size_t m_fullSpeed;
    milliseconds m_time;
    TimePoint m_now = Start;
    std::vector<Load> m_running;
};

TEST_CASE("the window converges to the number of loads that a store serves at full speed")
{
    for (const std::size_t fullSpeed : {24, 27, 32, 36}) {
        CAPTURE(fullSpeed);
        StoreLoadWindow loads({});
        loads.setServers(18);
        SimulatedStore store(fullSpeed, milliseconds(250));
        (void)store.runSaturated(loads, seconds(6));
        const int ended = store.runSaturated(loads, seconds(10));
        // Each load in progress completes four times a second at full speed.
        CHECK(ended >= 0.9 * 40.0 * static_cast<double>(fullSpeed));
        CHECK(loads.window() < 1.7 * static_cast<double>(fullSpeed));
    }
}

// Guards against a store that has fewer loads at full speed for each server than the window assumes: all its loads then
// end late, requests find their adapters still loading, and servers refuse orders because too many loads are in
// progress.
TEST_CASE("the window shrinks to what a store serves that is small for its servers")
{
    struct Deployment
    {
        std::size_t servers = 0;
        std::size_t fullSpeed = 0;
        milliseconds loadTime{0};
    };
    for (const auto &deployment : {Deployment{12, 8, milliseconds(250)}, Deployment{60, 64, milliseconds(288)},
                                   Deployment{74, 72, milliseconds(250)}, Deployment{18, 12, milliseconds(250)}}) {
        CAPTURE(deployment.servers);
        StoreLoadWindow loads({});
        loads.setServers(deployment.servers);
        SimulatedStore store(deployment.fullSpeed, deployment.loadTime);
        (void)store.runSaturated(loads, seconds(6));
        // With half as many loads again as the store serves at full speed, they end late by twice the tolerance.
        CHECK(loads.window() <= 1.5 * static_cast<double>(deployment.fullSpeed));
        const int ended = store.runSaturated(loads, seconds(10));
        const auto perSecond = static_cast<double>(deployment.fullSpeed)
            * std::chrono::duration<double>(seconds(1)).count()
            / std::chrono::duration<double>(deployment.loadTime).count();
        CHECK(ended >= 0.85 * 10 * perSecond);
    }
}

TEST_CASE("the window does not shrink when all loads of a store are slightly slower than assumed")
{
    StoreLoadWindow loads({});
    loads.setServers(60);
    const auto before = loads.window();
    SimulatedStore store(104, milliseconds(288));
    (void)store.runSaturated(loads, seconds(6));
    CHECK(loads.window() >= before);
}

TEST_CASE("the window does not shrink when servers leave, nor for a late load while few are in progress")
{
    StoreLoadWindow loads({});
    loads.setServers(18);
    loads.setServers(12);
    CHECK(loads.window() == 27);
    loads.recordLate(seconds(1), 5, Start);
    CHECK(loads.window() == 27);
    loads.recordLate(seconds(1), 26, Start);
    CHECK(loads.window() < 27);
}

// Guards against a window that collapses although the store has room: at 90 loads in progress there is always a server
// that is late for a reason of its own.
TEST_CASE("a single late load among many does not shrink the window, and several do")
{
    StoreLoadWindow loads({});
    loads.setServers(60);
    const auto initial = loads.window();
    constexpr std::size_t InTransit = 80;
    for (int second = 0; second < 5; ++second) {
        loads.recordLate(milliseconds(400), InTransit, Start + seconds(second));
    }
    CHECK(loads.window() == initial);
    for (int load = 0; load < 3; ++load) {
        loads.recordLate(milliseconds(400), InTransit, Start + seconds(10));
    }
    CHECK(loads.window() < initial);
}
