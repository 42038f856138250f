#include "tamarackcove/Engine/BatchScheduler.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static BatchSequence sequence(std::string id, std::size_t tokens, Priority priority = Priority::Normal)
{
    return {.requestId = std::move(id), .priority = priority, .tokens = tokens};
}

TEST_CASE("a free batch slot goes to the highest priority and then to the earliest arrival")
{
    BatchScheduler batch({.maxBatch = 1});
    batch.add(sequence("low", 1, Priority::Low));
    batch.add(sequence("first", 1));
    batch.add(sequence("second", 1));
    batch.add(sequence("high", 1, Priority::High));
    for (const auto *expected : {"high", "first", "second", "low"}) {
        CHECK(batch.beginStep().running == std::vector<std::string>{expected});
        REQUIRE(batch.finishStep().size() == 1);
    }
    CHECK_FALSE(batch.hasWork());
}

TEST_CASE("every sequence generates each of its tokens once and in order")
{
    BatchScheduler batch({.maxBatch = 2});
    batch.add(sequence("a", 3));
    batch.add(sequence("b", 1));
    batch.add(sequence("c", 2));
    std::map<std::string, std::vector<std::size_t>> offsets;
    while (batch.hasWork()) {
        (void)batch.beginStep();
        for (const auto &produced : batch.finishStep()) {
            offsets[produced.requestId].push_back(produced.offset);
        }
    }
    CHECK(offsets["a"] == std::vector<std::size_t>{0, 1, 2});
    CHECK(offsets["b"] == std::vector<std::size_t>{0});
    CHECK(offsets["c"] == std::vector<std::size_t>{0, 1});
    CHECK(batch.steps() == 3);
    CHECK(batch.efficiency() == 1.0);
}

TEST_CASE("a sequence removed during a step generates no further token")
{
    BatchScheduler batch({.maxBatch = 2});
    batch.add(sequence("a", 3));
    batch.add(sequence("b", 3));
    (void)batch.beginStep();
    batch.remove("a");
    const auto produced = batch.finishStep();
    REQUIRE(produced.size() == 1);
    CHECK(produced[0].requestId == "b");
}

TEST_CASE("the length of a step depends on its sequences, its uncached prompt tokens and the slowdown")
{
    BatchScheduler batch({.maxBatch = 4,
                          .stepBase = milliseconds(5),
                          .stepPerSequence = milliseconds(1),
                          .prefillPerToken = microseconds(100)});
    batch.add({.requestId = "a", .tokens = 2, .uncachedPromptTokens = 20});
    batch.add({.requestId = "b", .tokens = 2});
    CHECK(batch.beginStep().length == milliseconds(9));
    (void)batch.finishStep();
    batch.setSlowdown(2);
    CHECK(batch.beginStep().length == milliseconds(14));
    CHECK(batch.efficiency() == 0.5);
}
