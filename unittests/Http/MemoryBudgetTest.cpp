#include "tamarackcove/Http/MemoryBudget.h"

#include "tamarackcove/Http/MemoryAccount.h"

#include <doctest/doctest.h>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace tamarackcove;

static constexpr std::size_t Mb = 1024 * 1024;

/// An account that records what it has lost.
struct Holder
{
    explicit Holder(MemoryBudget &budget, milliseconds openedAt = milliseconds(0))
        : account(budget,
                  [this](MemoryAccount::Loss loss) { lost += loss == MemoryAccount::Loss::Body ? "body " : "closed "; })
    {
        opened = account.open(TimePoint(openedAt));
    }

    std::string lost;
    MemoryAccount account;
    bool opened = false;
};

// Guards against a process whose memory is filled by many bodies of legal size, most of which stop before their end.
TEST_CASE("if the memory is used up, the largest unfinished body is shed, and of similar ones the oldest")
{
    MemoryBudget budget({.bytes = 10 * Mb, .connections = 10});
    Holder small(budget, milliseconds(1));
    Holder older(budget, milliseconds(2));
    Holder newer(budget, milliseconds(3));
    CHECK(small.account.resize(1 * Mb));
    CHECK(older.account.resize(4 * Mb));
    CHECK(newer.account.resize(4 * Mb + Mb / 2));
    Holder next(budget, milliseconds(4));
    CHECK(next.account.resize(2 * Mb));
    CHECK(older.lost == "body ");
    CHECK(small.lost.empty());
    CHECK(newer.lost.empty());
    CHECK(budget.bytes() == 7 * Mb + Mb / 2);
    CHECK(budget.counts().bodiesShed == 1);
}

// Guards against a large body that takes the room of small ones.
TEST_CASE("a body that is itself the largest is refused, and the others are kept")
{
    MemoryBudget budget({.bytes = 10 * Mb, .connections = 10});
    Holder first(budget);
    Holder second(budget, milliseconds(1));
    CHECK(first.account.resize(3 * Mb));
    CHECK_FALSE(second.account.resize(8 * Mb));
    CHECK(first.lost.empty());
    CHECK(second.lost.empty());
    CHECK(second.account.bytes() == 0);
    CHECK(budget.counts().bytesRefused == 1);
}

// Guards against a request that is aborted although it has begun to run.
TEST_CASE("an account whose request is running is never shed")
{
    MemoryBudget budget({.bytes = 10 * Mb, .connections = 2});
    Holder running(budget);
    Holder other(budget, milliseconds(1));
    CHECK(running.account.resize(9 * Mb));
    REQUIRE(running.account.startRequest(TimePoint(milliseconds(1))));
    CHECK_FALSE(other.account.resize(2 * Mb));
    REQUIRE(other.account.startRequest(TimePoint(milliseconds(1))));
    const Holder third(budget, milliseconds(2));
    CHECK_FALSE(third.opened);
    CHECK(running.lost.empty());
    CHECK(other.lost.empty());
    CHECK(budget.counts().connectionsRefused == 1);
}

// Guards against answers that many clients do not read.
TEST_CASE("an answer that is not read is closed to make room")
{
    MemoryBudget budget({.bytes = 10 * Mb, .connections = 10});
    Holder unread(budget);
    CHECK(unread.account.resize(8 * Mb));
    unread.account.setAnswered(TimePoint(milliseconds(1)));
    Holder next(budget, milliseconds(2));
    CHECK(next.account.resize(4 * Mb));
    CHECK(unread.lost == "closed ");
    CHECK(budget.connections() == 1);
    CHECK(budget.bytes() == 4 * Mb);
    CHECK(unread.account.resize(Mb));
    CHECK(budget.bytes() == 4 * Mb);
}

// Guards against connections that send nothing and keep ordinary callers out.
TEST_CASE("a connection beyond the limit replaces the oldest one without a running request")
{
    MemoryBudget budget({.bytes = 10 * Mb, .connections = 2});
    Holder running(budget, milliseconds(1));
    REQUIRE(running.account.startRequest(TimePoint(milliseconds(1))));
    const Holder silent(budget, milliseconds(2));
    const Holder next(budget, milliseconds(3));
    CHECK(next.opened);
    CHECK(running.lost.empty());
    CHECK(silent.lost == "closed ");
    CHECK(budget.connections() == 2);
}

// Guards against pipelined requests that fill the receive buffers of the kernel while the first one runs.
TEST_CASE("a connection counts more while its request runs, and the request is refused if there is no room")
{
    MemoryBudget budget({.bytes = 10 * Mb,
                         .connections = 100,
                         .connectionBytes = MemoryBudget::RunningConnectionBytes + MemoryBudget::ConnectionBytes});
    Holder first(budget, milliseconds(1));
    const Holder idle(budget, milliseconds(2));
    Holder second(budget, milliseconds(3));
    CHECK(first.account.startRequest(TimePoint(milliseconds(4))));
    CHECK(idle.lost == "closed ");
    CHECK_FALSE(second.account.startRequest(TimePoint(milliseconds(5))));
    CHECK(second.lost.empty());
    first.account.setReceiving(TimePoint(milliseconds(6)));
    CHECK(second.account.startRequest(TimePoint(milliseconds(7))));
}

// Guards against bytes that stay counted after a connection has ended in one of the ways in which it can.
TEST_CASE("every byte is given back, whatever accounts do")
{
    std::mt19937 random(1);
    const auto draw = [&random](int below) {
        return static_cast<int>(random() % static_cast<unsigned>(below));
    };
    MemoryBudget budget({.bytes = 10 * Mb, .connections = 20, .connectionBytes = Mb});
    std::vector<std::unique_ptr<Holder>> holders;
    for (int step = 0; step < 20000; ++step) {
        const milliseconds now(step);
        if (holders.empty() || draw(4) == 0) {
            holders.push_back(std::make_unique<Holder>(budget, now));
        }
        const auto at = static_cast<std::size_t>(draw(static_cast<int>(holders.size())));
        auto &account = holders[at]->account;
        switch (draw(8)) {
        case 0:
            holders.erase(holders.begin() + static_cast<std::ptrdiff_t>(at));
            break;
        case 1:
            (void)account.startRequest(TimePoint(now));
            break;
        case 3:
            account.setAnswered(TimePoint(now));
            break;
        case 4:
            account.setReceiving(TimePoint(now));
            break;
        case 2:
            account.release();
            break;
        default:
            (void)account.resize(static_cast<std::size_t>(draw(4 * Mb)));
        }
        std::size_t held = 0;
        for (const auto &holder : holders) {
            held += holder->account.bytes();
        }
        REQUIRE(budget.bytes() == held);
        REQUIRE(held <= 10 * Mb);
        REQUIRE(budget.connections() <= 20);
        REQUIRE(budget.connectionBytes() <= Mb);
    }
    holders.clear();
    CHECK(budget.bytes() == 0);
    CHECK(budget.connectionBytes() == 0);
    CHECK(budget.connections() == 0);
    CHECK(budget.counts().bodiesShed > 0);
    CHECK(budget.counts().answersShed > 0);
    CHECK(budget.counts().connectionsShed > 0);
}

// Guards against limits that refuse clients within the limits of the entries, or that exceed the memory of a machine.
TEST_CASE("the limits follow the memory and the descriptors of the machine")
{
    const auto entry = MemoryBudget::limitsFor(120 * Mb, 3075);
    CHECK(entry.bytes == 30 * Mb);
    CHECK(entry.connections == 1280);
    CHECK(entry.connectionBytes == 30 * Mb);
    CHECK(entry.boundsSockets);
    CHECK(MemoryBudget::limitsFor(4096 * Mb, 256).connections == 128);
    const auto unlimited = MemoryBudget::limitsFor(std::nullopt, std::nullopt);
    CHECK(unlimited.connections == 4096);
    CHECK_FALSE(unlimited.boundsSockets);
}
