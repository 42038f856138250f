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
