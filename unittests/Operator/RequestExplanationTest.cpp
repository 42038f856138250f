#include "tamarackcove/Operator/RequestExplanation.h"

#include <doctest/doctest.h>
#include <sstream>

using namespace tamarackcove;

static constexpr const char *EntryLog
    = "time=2026-12-04T10:00:01.000Z level=info process=entry event=control_lost host=10.0.0.9 led=yes term=3\n"
      "time=2026-12-04T10:00:01.200Z level=info process=entry event=adapter_awaited request=r-7 adapter=a5 "
      "waited_ms=400\n"
      "time=2026-12-04T10:00:01.201Z level=info process=entry event=request_refused request=r-7 adapter=a5 "
      "reason=no_server detail=\"no control host that leads is connected\" sent=0\n"
      "time=2026-12-04T10:00:01.202Z level=info process=entry event=request_ended request=r-7 adapter=a5 "
      "outcome=refused reason=no_server sent=0 waited_ms=400 after_ms=402\n"
      "time=2026-12-04T10:00:01.203Z level=info process=entry event=request_ended request=r-8 outcome=answered\n"
      "a line of another program\n";

static constexpr const char *ControlLog
    = "1.234 core-1 | time=2026-12-04T10:00:00.900Z level=info process=control event=order_duty_ended fence=12\n"
      "1.234 core-1 | time=2026-12-04T10:00:01.150Z level=info process=control event=order_answered server=s3 "
      "adapter=a5 "
      "action=load outcome=unknown\n"
      "1.234 core-1 | time=2026-12-04T09:59:01.000Z level=info process=control event=order_answered server=s3 "
      "adapter=a5\n"
      "1.234 core-1 | time=2026-12-04T10:00:01.100Z level=info process=control event=order_answered server=s3 "
      "adapter=a6\n";

TEST_CASE("the explanation of a refused request gives its cause and the earlier events of its entry and its adapter")
{
    RequestExplanation explanation("r-7");
    std::istringstream entry(EntryLog);
    std::istringstream control(ControlLog);
    explanation.read("entry.log", entry);
    explanation.read("control.log", control);
    std::ostringstream out;
    REQUIRE(explanation.write(out));
    const auto text = out.str();
    const auto duty = text.find("event=order_duty_ended");
    const auto lost = text.find("event=control_lost");
    const auto order = text.find("event=order_answered");
    const auto refused = text.find("event=request_refused");
    REQUIRE(refused != std::string::npos);
    CHECK(duty < lost);
    CHECK(lost < order);
    CHECK(order < refused);
    CHECK(text.find("core-1 level=info") != std::string::npos);
    // Lines of another request, of another adapter, and from before the look-back time are left out.
    CHECK(text.find("r-8") == std::string::npos);
    CHECK(text.find("adapter=a6") == std::string::npos);
    CHECK(text.find("09:59") == std::string::npos);
    CHECK(text.find("outcome: refused (no_server) after 402 ms") != std::string::npos);
    CHECK(text.find("cause: request_refused, no control host that leads is connected") != std::string::npos);
}

TEST_CASE("nothing is written for a request that no line names")
{
    RequestExplanation explanation("r-9");
    std::istringstream entry(EntryLog);
    explanation.read("entry.log", entry);
    std::ostringstream out;
    CHECK_FALSE(explanation.write(out));
    CHECK(out.str().empty());
}
