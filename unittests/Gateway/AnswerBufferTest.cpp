#include "tamarackcove/Gateway/AnswerBuffer.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

// Guards against an entry whose memory is filled by several answers, each within the limit of one answer.
TEST_CASE("answers collected at the same time share a limit, and free their part at their end")
{
    std::size_t total = 0;
    AnswerBuffer first(total);
    CHECK(first.add(AnswerBuffer::MaxAnswerBytes));
    CHECK_FALSE(first.add(1));
    {
        AnswerBuffer second(total);
        CHECK(second.add(AnswerBuffer::MaxTotalBytes - AnswerBuffer::MaxAnswerBytes));
        AnswerBuffer third(total);
        CHECK_FALSE(third.add(1));
        CHECK(third.size() == 0);
    }
    CHECK(total == AnswerBuffer::MaxAnswerBytes);
    AnswerBuffer later(total);
    CHECK(later.add(1));
}
