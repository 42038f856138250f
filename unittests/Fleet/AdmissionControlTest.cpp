#include "ServiceModel.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace tamarackcove;
using namespace tamarackcove::test;
using Verdict = AdmissionControl::Verdict;
using Reason = AdmissionControl::Reason;

static constexpr TimePoint Start{std::chrono::hours(1)};
/// Begin and end of the overload in the tests with a model; before, the entries learn the service time.
static constexpr milliseconds OverloadBegin{10000};
static constexpr milliseconds OverloadEnd{13000};
static constexpr milliseconds ModelEnd{20000};

static double burst(milliseconds time)
{
    return time >= OverloadBegin && time < OverloadEnd ? 1.7 : 1.0;
}

static ServiceModel played(ServiceModel::Setup setup, bool controlled)
{
    setup.controlled = controlled;
    ServiceModel model(std::move(setup));
    model.run(ModelEnd);
    return model;
}

// 3 servers of 6 slots behind 70 entries, 75 % in use, get 1.7 times the requests for 3 s. Without control, the queues
// of the servers fill and nearly all requests are late.
TEST_CASE("in a burst most of the requests that can be served meet their goal, and as many are served")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        CAPTURE(seed);
        ServiceModel::Setup setup;
        setup.load = burst;
        setup.seed = seed;
        const auto without = played(setup, false).tally(OverloadBegin, OverloadEnd);
        auto model = played(setup, true);
        const auto with = model.tally(OverloadBegin, OverloadEnd);
        INFO("on time ", with.onTime, " of ", with.requests, ", without control ", without.onTime);
        CHECK(with.onTimeShare() > 1.6 * without.onTimeShare());
        INFO("served ", with.served(), ", without control ", without.served());
        CHECK(with.servedShare() > 0.96 * without.servedShare());
        CHECK(model.longestHold <= milliseconds(900));
    }
}

// One of 3 servers is lost for good, so that the demand exceeds the capacity by 15 %.
TEST_CASE("after the loss of a server most of the requests that can be served meet their goal")
{
    ServiceModel::Setup setup;
    setup.lost = [](milliseconds time) {
        return time >= OverloadBegin ? 1 : 0;
    };
    const auto without = played(setup, false).tally(OverloadBegin, ModelEnd - seconds(3));
    const auto with = played(setup, true).tally(OverloadBegin, ModelEnd - seconds(3));
    INFO("on time ", with.onTime, " of ", with.requests, ", without control ", without.onTime);
    CHECK(with.onTimeShare() > 1.5 * without.onTimeShare());
    INFO("served ", with.served(), ", without control ", without.served());
    CHECK(with.servedShare() > 0.93 * without.servedShare());
}

// A burst in which the requests have three priorities and two sizes.
TEST_CASE("in a burst the more urgent requests do better, and no class or size starves")
{
    ServiceModel::Setup setup;
    setup.load = burst;
    setup.priorities = {0, 1, 2};
    const auto byClass = played(setup, true);
    const auto first = byClass.tally(OverloadBegin, OverloadEnd, 0);
    const auto second = byClass.tally(OverloadBegin, OverloadEnd, 1);
    const auto third = byClass.tally(OverloadBegin, OverloadEnd, 2);
    INFO("on time ", first.onTimeShare(), " ", second.onTimeShare(), " ", third.onTimeShare());
    CHECK(first.onTimeShare() > second.onTimeShare());
    CHECK(second.onTimeShare() > third.onTimeShare());
    INFO("served ", first.servedShare(), " ", second.servedShare(), " ", third.servedShare());
    CHECK(first.servedShare() > second.servedShare());
    CHECK(second.servedShare() > third.servedShare());
    CHECK(third.servedShare() > 0.3);

    setup.priorities = {0};
    setup.weights = {0.5, 0.5, 0.5, 2.5};
    const auto bySize = played(setup, true);
    const auto all = bySize.tally(OverloadBegin, OverloadEnd);
    for (const double weight : {0.5, 2.5}) {
        const auto size = bySize.tally(OverloadBegin, OverloadEnd, -1, weight);
        INFO("weight ", weight, " served ", size.servedShare(), " on time ", size.onTimeShare());
        CHECK(size.servedShare() > 0.5 * all.servedShare());
        CHECK(size.onTimeShare() > 0.5 * all.onTimeShare());
    }
}

// A service at 75 % and at 85 % of its capacity. A hold in calm delays requests that would have been answered in time.
TEST_CASE("without overload nothing is limited")
{
    ServiceModel::Setup setup;
    auto calm = played(setup, true);
    CHECK(calm.held == 0);
    CHECK(calm.refused == 0);
    for (const auto &sample : calm.samples) {
        CHECK(sample.limited == 0);
    }
    setup.load = [](milliseconds) {
        return 1.13;
    };
    const auto without = played(setup, false).tally(milliseconds(0), ModelEnd - seconds(1));
    const auto with = played(setup, true).tally(milliseconds(0), ModelEnd - seconds(1));
    INFO("on time ", with.onTimeShare(), ", without control ", without.onTimeShare());
    CHECK(with.onTimeShare() > without.onTimeShare() - 0.005);
}

// The leader is lost in the burst, so that entries cannot know the load any more.
TEST_CASE("without reports for a second everything is sent")
{
    static constexpr milliseconds LostAt = OverloadBegin + milliseconds(800);
    ServiceModel::Setup setup;
    setup.load = burst;
    setup.reports = [](milliseconds time) {
        return time < LostAt;
    };
    auto model = played(setup, true);
    int limitedBefore = 0;
    for (const auto &sample : model.samples) {
        if (sample.at < LostAt) {
            limitedBefore = std::max(limitedBefore, sample.limited);
        } else if (sample.at > LostAt + milliseconds(1200)) {
            CHECK(sample.limited == 0);
        }
        if (sample.at > LostAt + milliseconds(2400)) {
            CHECK(sample.held == 0);
        }
    }
    CHECK(limitedBefore > 60);
}

// The end of a burst, when the held requests are sent. Entries that release them together fill the queues again.
TEST_CASE("after a burst the held requests are sent without a new overload")
{
    ServiceModel::Setup setup;
    setup.load = burst;
    auto model = played(setup, true);
    int crowded = 0;
    int samplesAfter = 0;
    for (const auto &sample : model.samples) {
        if (sample.at > OverloadEnd + milliseconds(600)) {
            ++samplesAfter;
            // More than two thirds of the queues.
            crowded += sample.inProgress > 18 + 48 ? 1 : 0;
        }
        if (sample.at > OverloadEnd + seconds(5)) {
            CHECK(sample.held == 0);
        }
    }
    INFO(crowded, " of ", samplesAfter);
    CHECK(crowded <= 2);
    const auto after = model.tally(OverloadEnd + seconds(4), ModelEnd - seconds(1));
    CHECK(after.onTimeShare() > 0.99);
}

namespace {

/// A control that limits requests to a small share, after reports of an overload.
struct LimitedControl
{
    LimitedControl()
    {
        for (int i = 0; i < 64; ++i) {
            control.recordAnswer(request(0), milliseconds(30), milliseconds(30));
        }
        for (int i = 0; i < 20; ++i) {
            now += milliseconds(200);
            control.recordLoad({.inProgress = i < 5 ? 10.0 : 90.0, .slots = 18, .reportAge = Duration(0)}, now);
        }
    }

    [[nodiscard]] AdmissionControl::Request request(int priority, double weight = 1) const
    {
        return {.priority = priority,
                .weight = weight,
                .firstSentAt = now,
                .goal = milliseconds(150),
                .deadline = now + milliseconds(1200)};
    }
    /// Offers requests of a priority until one is held, and returns its ticket.
    AdmissionControl::Ticket holdOne(int priority)
    {
        auto decision = control.offer(request(priority), now);
        for (int i = 0; decision.verdict == Verdict::Send && i < 100; ++i) {
            decision = control.offer(request(priority), now);
        }
        REQUIRE(decision.verdict == Verdict::Hold);
        return decision.ticket;
    }

    AdmissionControl control{AdmissionControl::Options{}};
    TimePoint now = Start;
};

} // namespace

// Guards against requests that are sent in the order of arrival when the overload ends.
TEST_CASE("held requests are released in the order of their priority, and late ones over time")
{
    LimitedControl limited;
    auto &control = limited.control;
    REQUIRE(control.limits());
    // Those that are sent at once are in this list too.
    std::vector<AdmissionControl::Ticket> released;
    control.onRelease = [&](AdmissionControl::Ticket ticket) {
        released.push_back(ticket);
    };
    const auto third = limited.holdOne(2);
    const auto first = limited.holdOne(0);
    const auto second = limited.holdOne(1);
    // The requests have missed their goal when an old report ends the limits.
    auto now = limited.now + milliseconds(200);
    control.recordLoad({.inProgress = 90, .slots = 18, .reportAge = milliseconds(1100)}, now);
    CHECK_FALSE(control.limits());
    auto decision = control.check(third, now);
    CHECK(decision.verdict == Verdict::Hold);
    while (decision.verdict == Verdict::Hold) {
        now += milliseconds(20);
        decision = control.check(third, now);
    }
    CHECK(decision.verdict == Verdict::Send);
    const auto place = [&](AdmissionControl::Ticket ticket) {
        return std::find(released.begin(), released.end(), ticket) - released.begin();
    };
    CHECK(place(first) < place(second));
    CHECK(place(second) < place(third));
    CHECK(released.back() == third);
}

// Guards against requests that are held until their caller has given up.
TEST_CASE("a request is held for at most three quarters of its time and then refused with a time to come again")
{
    LimitedControl limited;
    auto &control = limited.control;
    const auto ticket = limited.holdOne(0);
    const auto begin = limited.now;
    AdmissionControl::Decision decision{.verdict = Verdict::Hold, .checkAt = begin};
    for (int i = 0; decision.verdict == Verdict::Hold; ++i) {
        REQUIRE(decision.checkAt <= begin + milliseconds(900));
        limited.now = std::max(decision.checkAt, limited.now + milliseconds(1));
        control.recordLoad({.inProgress = 90, .slots = 18, .reportAge = Duration(0)}, limited.now);
        decision = control.check(ticket, limited.now);
    }
    CHECK(limited.now <= begin + milliseconds(901));
    CHECK(decision.verdict == Verdict::Refuse);
    CHECK(decision.reason == Reason::HeldTooLong);
    CHECK(decision.retryAfter >= milliseconds(300));
}

// Guards against requests that wait although they cannot be answered any more.
TEST_CASE("a request with less time than its answer takes is refused at once")
{
    LimitedControl limited;
    auto request = limited.request(0);
    request.deadline = limited.now + milliseconds(20);
    const auto decision = limited.control.offer(request, limited.now);
    CHECK(decision.verdict == Verdict::Refuse);
    CHECK(decision.reason == Reason::TooLittleTime);
}

// Guards against limits before the service time is known, and with a report that is too old.
TEST_CASE("everything is sent before the service time is known and with an old report")
{
    AdmissionControl control{AdmissionControl::Options{}};
    for (int i = 1; i < 10; ++i) {
        control.recordLoad({.inProgress = 90, .slots = 18, .reportAge = Duration(0)}, Start + i * milliseconds(200));
    }
    CHECK_FALSE(control.limits());
    LimitedControl limited;
    limited.control.recordLoad({.inProgress = 90, .slots = 18, .reportAge = milliseconds(1100)}, limited.now);
    CHECK(limited.control.offer(limited.request(2), limited.now).verdict == Verdict::Send);
}
