#include "tamarackcove/Gateway/EventCutter.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

TEST_CASE("only whole events are passed on, wherever the bytes are cut")
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        EventCutter events;
        auto passed = events.take(stream.substr(0, cut));
        CHECK((passed.empty() || passed.ends_with("\n\n") || passed.ends_with("\r\n\r\n")));
        passed += events.take(stream.substr(cut));
        CHECK(passed == stream);
        CHECK(events.lastId() == "3");
        CHECK(events.rest().empty());
    }
}

TEST_CASE("a part of an event that a server did not finish does not count")
{
    EventCutter events;
    CHECK(events.take("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(events.lastId() == "1");
    events.discardRest();
    CHECK(events.take("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(events.lastId() == "2");
}
