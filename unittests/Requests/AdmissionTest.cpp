#include "tamarackcove/Requests/Admission.h"

#include "tamarackcove/Requests/LoadWaitQueue.h"
#include "tamarackcove/Requests/RetryBudget.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static const TimePoint Start = TimePoint(seconds(1000));
static const ServiceName Busy("busy");
static const ServiceName Quiet("quiet");

static Admission::Offer offer(const ServiceName &service, Priority priority = Priority::Normal)
{
    return {.service = service, .priority = priority, .sharePercent = 50};
}

TEST_CASE("a service above its share leaves the reserve to a service below its share")
{
    Admission admission({.maxRunning = 10, .maxQueued = 10, .reservePercent = 20});
    for (int i = 0; i < 100; ++i) {
        (void)admission.offer(offer(Busy), Start);
    }
    CHECK(admission.running() < 10);
    CHECK(admission.offer(offer(Quiet), Start).verdict == Admission::Verdict::Admitted);
}

TEST_CASE(
    "a full queue refuses a request with a retry time, and a request of high priority displaces one of low priority")
{
    Admission admission({.maxRunning = 1, .maxQueued = 2, .reservePercent = 0});
    CHECK(admission.offer(offer(Busy), Start).verdict == Admission::Verdict::Admitted);
    (void)admission.offer(offer(Busy, Priority::Low), Start);
    (void)admission.offer(offer(Busy, Priority::Low), Start);
    const auto refused = admission.offer(offer(Busy, Priority::Low), Start);
    CHECK(refused.verdict == Admission::Verdict::Refused);
    CHECK(refused.retryAfter >= seconds(1));
    const auto urgent = admission.offer(offer(Busy, Priority::High), Start);
    CHECK(urgent.verdict == Admission::Verdict::Queued);
    CHECK(urgent.displaced);
}

TEST_CASE("a request of low priority is admitted before a newer one of high priority once it has aged")
{
    Admission admission({.maxRunning = 1, .maxQueued = 100, .reservePercent = 0});
    const auto running = admission.offer(offer(Busy), Start);
    const auto low = admission.offer(offer(Busy, Priority::Low), Start);
    const auto later = Start + seconds(10);
    (void)admission.offer(offer(Busy, Priority::High), later);
    admission.finish(running.ticket, later);
    CHECK(admission.admitNext(later) == std::vector{low.ticket});
}

TEST_CASE("retries are limited to a tenth of the requests plus the initial budget")
{
    RetryBudget budget({.ratio = 0.1, .maxSavedRetries = 5});
    int taken = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.noteRequest();
        taken += budget.takeRetry() ? 1 : 0;
    }
    CHECK(taken <= 105);
    CHECK(taken >= 95);
    for (int retry = 1; retry < 20; ++retry) {
        CHECK(budget.backoff(retry) <= milliseconds(500));
        CHECK(budget.backoff(retry).count() >= 5);
    }
}

TEST_CASE("requests for one adapter share one load, are released in order of priority, and expire at their deadline")
{
    LoadWaitQueue room({});
    const AdapterRef adapter("rules", "1");
    const auto enqueue = [&](Priority priority, milliseconds deadline) {
        return room.enqueue(
            {.adapter = adapter, .priority = priority, .receivedAt = Start, .deadline = Start + deadline}, Start);
    };
    const auto first = enqueue(Priority::Low, seconds(60));
    const auto second = enqueue(Priority::High, seconds(60));
    const auto shortDeadline = enqueue(Priority::Normal, seconds(1));
    CHECK(first.first);
    CHECK_FALSE(second.first);
    REQUIRE(room.demand(Start).size() == 1);
    CHECK(room.demand(Start).front().waiting == 3);
    CHECK(room.expire(Start + seconds(2)) == std::vector{*shortDeadline.ticket});
    CHECK(room.release(adapter, Start + seconds(2)) == std::vector{*second.ticket, *first.ticket});
    CHECK(room.size() == 0);
}

TEST_CASE("requests for one adapter cannot take all places in the queue for adapter loads")
{
    LoadWaitQueue room({.maxWaiting = 10, .maxPerAdapter = 3});
    const LoadWaitQueue::Waiter hot{.adapter = AdapterRef("hot", "1"), .receivedAt = Start};
    int entered = 0;
    for (int i = 0; i < 10; ++i) {
        entered += room.enqueue(hot, Start).ticket ? 1 : 0;
    }
    CHECK(entered == 3);
    CHECK(room.enqueue({.adapter = AdapterRef("rare", "1"), .receivedAt = Start}, Start).ticket);
}
