#include "tamarackcove/Requests/StreamAssembler.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

using Verdict = StreamAssembler::Verdict;

TEST_CASE("pieces that arrive out of order or twice are delivered once and in order")
{
    StreamAssembler stream;
    std::string out;
    CHECK(stream.place(0, 1, "a") == Verdict::Next);
    CHECK(stream.place(2, 1, "c") == Verdict::Early);
    CHECK(stream.hasGap());
    CHECK(stream.place(0, 1, "a") == Verdict::Duplicate);
    CHECK(stream.place(1, 1, "b") == Verdict::Next);
    stream.takeReady(out);
    CHECK(out == "c");
    CHECK(stream.nextOffset() == 3);
    CHECK(stream.duplicates() == 1);
}

TEST_CASE("a stream whose end arrives before a missing piece is not complete")
{
    StreamAssembler stream;
    CHECK(stream.place(0, 1, "a") == Verdict::Next);
    CHECK_FALSE(stream.complete());
    stream.noteEnd(2);
    CHECK_FALSE(stream.complete());
    CHECK(stream.place(1, 1, "b") == Verdict::Next);
    CHECK(stream.complete());
}

TEST_CASE("pieces that overlap in part or exceed the early-piece bound are unusable and do not move the resume offset")
{
    StreamAssembler stream(1);
    CHECK(stream.place(0, 2, "ab") == Verdict::Next);
    CHECK(stream.place(1, 2, "bc") == Verdict::Unusable);
    CHECK(stream.place(5, 1, "f") == Verdict::Early);
    CHECK(stream.place(7, 1, "h") == Verdict::Unusable);
    CHECK(stream.nextOffset() == 2);
}
