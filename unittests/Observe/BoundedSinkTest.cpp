#include "../../lib/Observe/BoundedSink.h"

#include <array>
#include <doctest/doctest.h>
#include <memory>
#include <spdlog/logger.h>
#include <string>
#include <unistd.h>

using namespace tamarackcove;

/// Reads the bytes that are available at the reading end of a pipe.
static std::string readAvailable(int descriptor)
{
    std::string all;
    std::array<char, 8192> bytes{};
    for (;;) {
        const auto count = ::read(descriptor, bytes.data(), bytes.size());
        if (count <= 0) {
            return all;
        }
        all.append(bytes.data(), static_cast<std::size_t>(count));
        if (static_cast<std::size_t>(count) < bytes.size()) {
            return all;
        }
    }
}

TEST_CASE("logging does not block when the reader of the pipe stops reading, and reports how many lines were dropped")
{
    std::array<int, 2> ends{};
    REQUIRE(::pipe(ends.data()) == 0);
    auto sink = std::make_shared<BoundedSink>(ends[1], BoundedSink::Limits{.bytesPerSecond = 1e9, .burstBytes = 1e9});
    spdlog::logger logger("test", sink);
    // These lines exceed the capacity of the pipe, so a blocking write would never return.
    for (int i = 0; i < 20000; ++i) {
        logger.info("event=flood number={}", i);
    }
    CHECK(sink->dropped() > 0);
    (void)readAvailable(ends[0]);
    logger.info("event=after");
    const auto text = readAvailable(ends[0]);
    CHECK(text.find("event=log_lines_dropped") != std::string::npos);
    CHECK(text.find("by_event=flood:" + std::to_string(sink->dropped()) + "\n") != std::string::npos);
    CHECK(text.find("event=after") != std::string::npos);
    ::close(ends[0]);
    ::close(ends[1]);
}

TEST_CASE("the sink writes no more bytes than its rate limit and burst allow")
{
    std::array<int, 2> ends{};
    REQUIRE(::pipe(ends.data()) == 0);
    auto sink = std::make_shared<BoundedSink>(ends[1], BoundedSink::Limits{.bytesPerSecond = 0, .burstBytes = 500});
    spdlog::logger logger("test", sink);
    for (int i = 0; i < 100; ++i) {
        logger.info("event=flood number={}", i);
    }
    CHECK(sink->dropped() > 0);
    CHECK(readAvailable(ends[0]).size() <= 500);
    ::close(ends[0]);
    ::close(ends[1]);
}
