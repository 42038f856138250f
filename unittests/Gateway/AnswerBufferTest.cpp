#include "tamarackcove/Gateway/AnswerBuffer.h"

#include "tamarackcove/Gateway/AnswerBudget.h"

#include <doctest/doctest.h>
#include <memory>
#include <vector>

using namespace tamarackcove;

static constexpr std::size_t MaxBytes = AnswerBuffer::MaxAnswerBytes;
static constexpr std::size_t SmallBytes = AnswerBuffer::GuaranteedBytes;

// Guards against an entry whose memory is filled by several answers, each within the limit of one answer.
TEST_CASE("answers collected at the same time share a limit, and free their part at their end")
{
    AnswerBudget budget;
    AnswerBuffer first(budget);
    CHECK(first.add(MaxBytes));
    CHECK_FALSE(first.add(1));
    {
        AnswerBuffer second(budget);
        CHECK(second.add(AnswerBudget::MaxTotalBytes - MaxBytes));
        std::vector<std::unique_ptr<AnswerBuffer>> others;
        std::size_t accepted = 0;
        for (int i = 0; i < 100; ++i) {
            others.push_back(std::make_unique<AnswerBuffer>(budget));
            accepted += others.back()->add(1024 * 1024) ? 1 : 0;
        }
        CHECK(accepted == AnswerBudget::MaxOverdraftBytes / (1024 * 1024));
        CHECK(budget.totalBytes() <= AnswerBudget::MaxTotalBytes + AnswerBudget::MaxOverdraftBytes);
    }
    CHECK(budget.totalBytes() == MaxBytes);
    AnswerBuffer later(budget);
    CHECK(later.add(1));
}

// Guards against sound answers that are lost because faulty servers send without end to other callers.
TEST_CASE("if the memory for answers is used up, the largest answer gives way, and small ones always have room")
{
    AnswerBudget budget;
    AnswerBuffer largest(budget);
    AnswerBuffer second(budget);
    CHECK(largest.add(MaxBytes));
    CHECK(second.add(AnswerBudget::MaxTotalBytes - MaxBytes - 1));
    AnswerBuffer small(budget);
    CHECK(small.add(SmallBytes));
    CHECK_FALSE(largest.givesWay());
    AnswerBuffer sound(budget);
    CHECK(sound.add(SmallBytes + 1));
    CHECK(largest.givesWay());
    CHECK_FALSE(second.givesWay());
    CHECK_FALSE(largest.resize(MaxBytes + 1));
    CHECK(sound.add(1));
    CHECK(second.givesWay());
}

// Guards against a stream that stays counted for what it has sent on.
TEST_CASE("an answer that is sent on piece by piece is counted for what is left of it")
{
    AnswerBudget budget;
    AnswerBuffer stream(budget);
    CHECK(stream.resize(1000));
    CHECK(stream.resize(10));
    CHECK(budget.totalBytes() == 10);
}
