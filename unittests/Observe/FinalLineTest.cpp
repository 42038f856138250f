#include "tamarackcove/Observe/LogLine.h"

#include <array>
#include <cassert>
#include <csignal>
#include <doctest/doctest.h>
#include <functional>
#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace tamarackcove;

/// What a child process wrote to its standard output, and the signal that ended it.
struct ChildEnd
{
    std::string output;
    int signal = 0;
};

/// Runs the function in a child process that has service logging.
static ChildEnd runInChild(const std::function<void()> &function)
{
    std::array<int, 2> ends{};
    REQUIRE(::pipe(ends.data()) == 0);
    const auto child = ::fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        ::dup2(ends[1], STDOUT_FILENO);
        ::close(ends[0]);
        ::close(ends[1]);
        initServiceLogging("child", LogLevel::Info);
        // A thread, because a test framework catches the exceptions of the main thread.
        std::thread(function).join();
        ::_exit(0);
    }
    ::close(ends[1]);
    ChildEnd end;
    std::array<char, 65536> bytes{};
    for (auto count = ::read(ends[0], bytes.data(), bytes.size()); count > 0;
         count = ::read(ends[0], bytes.data(), bytes.size())) {
        end.output.append(bytes.data(), static_cast<std::size_t>(count));
    }
    ::close(ends[0]);
    int status = 0;
    REQUIRE(::waitpid(child, &status, 0) == child);
    end.signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    return end;
}

/// Writes more lines than the rate limit of the sink allows, so that it drops further lines.
static void exhaustLogLimit()
{
    const std::string text(1000, 'x');
    for (int i = 0; i < 2000; ++i) {
        LogLine(LogLevel::Info, "flood").add("text", text);
    }
}

static std::string lastLine(const std::string &output)
{
    const auto end = output.find_last_of('\n');
    REQUIRE(end != std::string::npos);
    return output.substr(output.find_last_of('\n', end - 1) + 1, end - output.find_last_of('\n', end - 1) - 1);
}

/// A process ended by an exception in a handler left no reason in its log.
TEST_CASE("an uncaught exception is the last log line of the process, also when the limit of the log is exhausted")
{
    const auto end = runInChild([] {
        exhaustLogLimit();
        throw std::runtime_error("cannot read \"x\"\nin a snapshot");
    });
    CHECK(end.signal == SIGABRT);
    const auto line = lastLine(end.output);
    CHECK(
        line.find("level=critical process=child event=process_ended reason=\"uncaught exception: cannot read 'x' in a "
                  "snapshot\"")
        != std::string::npos);
    CHECK(end.output.find("process_ended") == end.output.rfind("process_ended"));
}

/// The message of assert() goes to standard error only, and a signal leaves none at all.
TEST_CASE("a failed assertion or a fatal signal is the last log line of the process")
{
    const auto failed = runInChild([] {
        exhaustLogLimit();
        volatile int index = 2;
        assert(index <= 1 && "the entry must be in memory");
    });
    CHECK(failed.signal == SIGABRT);
    const auto line = lastLine(failed.output);
    CHECK(line.find("event=process_ended reason=\"failed assertion: ") != std::string::npos);
    CHECK(line.find("FinalLineTest.cpp") != std::string::npos);
    CHECK(line.find("index <= 1") != std::string::npos);
    const auto crashed = runInChild([] {
        exhaustLogLimit();
        (void)::raise(SIGSEGV);
    });
    CHECK(crashed.signal == SIGSEGV);
    CHECK(lastLine(crashed.output).find("event=process_ended reason=\"fatal signal: Segmentation fault\"")
          != std::string::npos);
}

/// A line such as control_fatal was dropped when the lines before it had used up the limit.
TEST_CASE("a critical line is written when the limit of the log is exhausted")
{
    const auto end = runInChild([] {
        exhaustLogLimit();
        LogLine(LogLevel::Critical, "control_fatal").add("reason", "disk");
    });
    CHECK(end.signal == 0);
    CHECK(lastLine(end.output).find("level=critical process=child event=control_fatal reason=disk")
          != std::string::npos);
}
