#include "tamarackcove/Gateway/EventStreamSplitter.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

TEST_CASE("only whole events are returned, wherever the stream is split into reads")
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        EventStreamSplitter events;
        auto passed = events.consume(stream.substr(0, cut));
        CHECK((passed.empty() || passed.ends_with("\n\n") || passed.ends_with("\r\n\r\n")));
        passed += events.consume(stream.substr(cut));
        CHECK(passed == stream);
        CHECK(events.lastId() == "3");
        CHECK(events.incompleteEvent().empty());
    }
}

TEST_CASE("an incomplete event is discarded and does not change the last id")
{
    EventStreamSplitter events;
    CHECK(events.consume("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(events.lastId() == "1");
    events.discardIncompleteEvent();
    CHECK(events.consume("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(events.lastId() == "2");
}

// Guards against a server that ignores where a stream is to be resumed: its caller would get events twice.
TEST_CASE("events of a further server that do not follow the last event are detected")
{
    EventStreamSplitter events;
    events.beginRun();
    (void)events.consume("id: 9\ndata: a\n\nid: 10\ndata: b\n\n");
    CHECK_FALSE(events.repeatsEvents());
    events.beginRun();
    (void)events.consume("id: 11\ndata: c\n\n");
    CHECK_FALSE(events.repeatsEvents());
    events.beginRun();
    (void)events.consume("id: 11\ndata: c\n\n");
    CHECK(events.repeatsEvents());
    EventStreamSplitter restarted;
    restarted.beginRun();
    (void)restarted.consume("id: 10\ndata: b\n\n");
    restarted.beginRun();
    (void)restarted.consume("id: 9\ndata: a\n\nid: 11\ndata: c\n\n");
    CHECK(restarted.repeatsEvents());
    // The next server goes on after the last event that was passed on.
    CHECK(restarted.lastId() == "10");
}
