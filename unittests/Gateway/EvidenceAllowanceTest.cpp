#include "tamarackcove/Gateway/EvidenceAllowance.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

// Guards against evidence that grows with the number of entries.
TEST_CASE("all entries together tell a control host no more than the allowed items a second")
{
    constexpr seconds Duration{10};
    for (const std::size_t entries : {1, 10, 87, 200}) {
        INFO("entries ", entries);
        EvidenceAllowance allowance;
        allowance.setEntries(entries);
        const TimePoint start{seconds(100)};
        std::size_t told = 0;
        for (TimePoint now = start; now < start + Duration; now += milliseconds(1)) {
            if (allowance.available(now) > 0) {
                allowance.use(6, now);
                told += 6;
            }
        }
        const auto all = static_cast<double>(told * entries);
        const auto allowed = EvidenceAllowance::ItemsPerSecond
            * (static_cast<double>(Duration.count()) + EvidenceAllowance::MaxSavedSeconds);
        CHECK(all <= allowed + 6.0 * static_cast<double>(entries));
        CHECK(all >= 0.8 * EvidenceAllowance::ItemsPerSecond * static_cast<double>(Duration.count()));
    }
}

// Guards against an entry that asks for its allowance all the time, or never again, after it has used more than it has.
TEST_CASE("what was used beyond the allowance is waited for")
{
    EvidenceAllowance allowance;
    allowance.setEntries(150);
    const TimePoint now{seconds(100)};
    CHECK(allowance.availableAt(now) == now);
    allowance.use(25, now);
    CHECK(allowance.available(now) == 0);
    // Ten items a second; five are missing.
    const auto at = allowance.availableAt(now);
    CHECK(at >= now + milliseconds(590));
    CHECK(at <= now + milliseconds(610));
    CHECK(allowance.available(at) == 1);
}
