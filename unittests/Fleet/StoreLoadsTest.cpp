#include "tamarackcove/Fleet/StoreLoads.h"

#include <doctest/doctest.h>
#include <vector>

using namespace tamarackcove;

static constexpr TimePoint Start{std::chrono::hours(1)};
static constexpr milliseconds LoadTime{255};

/// A store that loads so many adapters at isFull speed, and shares its rate among more.
class SimulatedStore
{
public:
    SimulatedStore(std::size_t fullSpeed, milliseconds time)
        : m_fullSpeed(fullSpeed)
        , m_time(time)
    {
    }

    /// Asks for more than can be loaded, for so long. Returns the loads that ended.
    int press(StoreLoads &loads, milliseconds length)
    {
        constexpr milliseconds Step{1};
        int ended = 0;
        const auto end = m_now + length;
        for (; m_now < end; m_now += Step) {
            while (!loads.isFull(m_running.size())) {
                m_running.push_back({.left = std::chrono::duration<double, std::milli>(m_time).count(),
                                     .expectedAt = m_now + LoadTime});
            }
            const auto crowding = static_cast<double>(m_running.size()) / static_cast<double>(m_fullSpeed);
            for (auto &load : m_running) {
                load.left -= 1 / std::max(1.0, crowding);
                probe(loads, load);
            }
            // A load is forgotten once its first request has come.
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

    /// A request comes when the load is expected to have ended, and again with growing pauses.
    void probe(StoreLoads &loads, Load &load) const
    {
        constexpr milliseconds Pause{35};
        const auto asksAt = load.expectedAt + Pause * (load.refusals * (load.refusals + 1) / 2);
        if (m_now != asksAt) {
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

TEST_CASE("the window finds the number of loads that a store takes at full speed")
{
    for (const std::size_t fullSpeed : {24, 27, 32, 36}) {
        CAPTURE(fullSpeed);
        StoreLoads loads({});
        loads.setServers(18);
        SimulatedStore store(fullSpeed, milliseconds(250));
        (void)store.press(loads, seconds(6));
        const int ended = store.press(loads, seconds(10));
        // Four a second for each that is on its way.
        CHECK(ended >= 0.9 * 40.0 * static_cast<double>(fullSpeed));
        CHECK(loads.window() < 1.7 * static_cast<double>(fullSpeed));
    }
}

TEST_CASE("a store that is a little slower than assumed is not taken for a crowded one")
{
    StoreLoads loads({});
    loads.setServers(60);
    const auto before = loads.window();
    SimulatedStore store(104, milliseconds(288));
    (void)store.press(loads, seconds(6));
    CHECK(loads.window() >= before);
}

TEST_CASE("servers that leave do not shrink the window, and late loads do not while few are on their way")
{
    StoreLoads loads({});
    loads.setServers(18);
    loads.setServers(12);
    CHECK(loads.window() == 27);
    loads.recordLate(seconds(1), 5, Start);
    CHECK(loads.window() == 27);
    loads.recordLate(seconds(1), 26, Start);
    CHECK(loads.window() < 27);
}
