#include "tamarackcove/Observe/FinalLine.h"

#include "DescriptorWriter.h"
#include "tamarackcove/Base/Time.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cassert>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <exception>
#include <fmt/format.h>
#include <iterator>
#include <unistd.h>

namespace tamarackcove {

static constexpr std::size_t MaxProcessName = 64;
static constexpr std::size_t MaxLineBytes = 1024;
/// Enough for the handler, also after an overflow of the normal stack.
static constexpr std::size_t HandlerStackBytes = 64 * 1024;

/// Set before other threads run, then only read: a signal handler can take no lock.
static std::array<char, MaxProcessName> processName{};
static int lineDescriptor = STDERR_FILENO;
/// Several threads may fail at once; the first reason is the one that ends the process.
static std::atomic_flag lineWritten = ATOMIC_FLAG_INIT;

/// Writes the line unless one was written already. Allocates no memory and takes no lock, so a signal handler may call
/// it.
static void writeFinalLine(std::string_view reason, std::string_view detail = {}) noexcept
{
    if (lineWritten.test_and_set()) {
        return;
    }
    std::array<char, MaxLineBytes> line{};
    const auto now = std::chrono::system_clock::now();
    const auto day = std::chrono::floor<std::chrono::days>(now);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss time(std::chrono::floor<milliseconds>(now - day));
    const auto written = fmt::format_to_n(
        line.begin(), line.size() - 2,
        "time={:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}+00:00 level=critical process={} event=process_ended "
        "reason=\"{}{}{}",
        static_cast<int>(date.year()), static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()),
        time.hours().count(), time.minutes().count(), time.seconds().count(), time.subseconds().count(),
        std::string_view(processName.data()), reason, detail.empty() ? "" : ": ", detail);
    const auto length = std::min(written.size, line.size() - 2);
    const auto end = line.begin() + static_cast<std::ptrdiff_t>(length);
    // The reason is the last value, so it starts at the first quote. Characters that would end the value or the line
    // are replaced, because escaping could exceed the line.
    const auto value = std::find(line.begin(), end, '"');
    std::replace_if(
        value == end ? end : std::next(value), end, [](char c) { return c == '"' || c == '\\'; }, '\'');
    std::replace_if(
        value, end, [](char c) { return c == '\n' || c == '\r'; }, ' ');
    *end = '"';
    *std::next(end) = '\n';
    (void)writeWithin(lineDescriptor, {line.data(), length + 2}, FinalLineTimeout);
}

static void handleFatalSignal(int signal)
{
    const char *description = ::sigdescr_np(signal);
    writeFinalLine("fatal signal", description == nullptr ? "unknown" : description);
    // The handler was reset when it was called, so the signal ends the process once this handler returns.
    (void)::raise(signal);
}

[[noreturn]] static void handleTerminate()
{
    if (const auto exception = std::current_exception()) {
        try {
            std::rethrow_exception(exception);
        } catch (const std::exception &error) {
            writeFinalLine("uncaught exception", error.what());
        } catch (...) {
            writeFinalLine("uncaught exception", "not derived from std::exception");
        }
    }
    writeFinalLine("std::terminate was called");
    std::abort();
}

void reportProcessEnd(std::string_view process, int descriptor)
{
    processName = {};
    std::copy_n(process.begin(), std::min(process.size(), MaxProcessName - 1), processName.begin());
    lineDescriptor = descriptor;
    std::set_terminate(handleTerminate);
    static std::array<char, HandlerStackBytes> handlerStack{};
    stack_t stack{};
    stack.ss_sp = handlerStack.data();
    stack.ss_size = handlerStack.size();
    (void)::sigaltstack(&stack, nullptr);
    struct sigaction action
    {
    };
    action.sa_handler = handleFatalSignal;
    action.sa_flags = static_cast<int>(SA_ONSTACK | SA_RESETHAND);
    ::sigemptyset(&action.sa_mask);
    for (const int signal : {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT}) {
        (void)::sigaction(signal, &action, nullptr);
    }
}

} // namespace tamarackcove

/// Replaces the function of the C library that a failed assert() calls, which writes to standard error only.
// NOLINTNEXTLINE(bugprone-reserved-identifier,cert-dcl37-c,cert-dcl51-cpp,readability-identifier-naming)
extern "C" void __assert_fail(const char *assertion, const char *file, unsigned int line, const char *function) noexcept
{
    std::array<char, tamarackcove::MaxLineBytes> detail{};
    const auto written
        = fmt::format_to_n(detail.begin(), detail.size(), "{}:{}: {}: {}", file, line, function, assertion);
    tamarackcove::writeFinalLine("failed assertion", {detail.data(), std::min(written.size, detail.size())});
    std::abort();
}
