#include "tamarackcove/Load/LoadRunner.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Settings/SettingsFile.h"
#include "tamarackcove/Settings/ToolCommandLine.h"
#include "tamarackcove/Supervision/Supervisor.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <fstream>

using namespace tamarackcove;

/// Writes `text` and a newline to `path`; does nothing if `path` is empty.
static void writeFile(const std::string &path, const std::string &text)
{
    if (!path.empty()) {
        std::ofstream(path) << text << '\n';
    }
}

int main(int argc, char **argv)
{
    int exitCode = 0;
    const auto command = parseCommandLine(
        argc, argv, "load generator that checks every response", TAMARACKCOVE_VERSION, exitCode,
        {{.name = "direct",
          .description = "send every request to the engines of the settings key direct, without the entries"},
         {.name = "json", .description = "write the summary to this file as JSON", .takesValue = true},
         {.name = "csv", .description = "write one line per request to this file as CSV", .takesValue = true}});
    if (!command) {
        return exitCode;
    }
    initLogging("tamarackcove-loadgen", LogLevel::Info);
    auto settings = loadLoadSettings(command->settingsPath);
    if (settings.has_error()) {
        LogLine(LogLevel::Error, "settings_refused").add("reason", settings.error().detail);
        return ExitUsage;
    }
    if (command->has("direct")) {
        settings.value().directShare = 1;
    }
    const auto share = settings.value().directShare;
    if ((share > 0 && settings.value().direct.empty()) || (share < 1 && settings.value().endpoints.empty())) {
        LogLine(LogLevel::Error, "settings_refused")
            .add("reason", "set key endpoints unless all requests are direct, and key direct if any request is direct");
        return ExitUsage;
    }
    if (command->check) {
        return 0;
    }
    boost::asio::io_context io(1);
    Supervisor requests(io.get_executor(), "requests");
    LoadRunner runner(requests, std::move(settings.value()));
    boost::asio::co_spawn(io, runner.run(), [](const std::exception_ptr &failure) {
        if (failure) {
            std::rethrow_exception(failure);
        }
    });
    io.run();
    const auto &summary = runner.summary();
    writeFile(command->value("json"), summaryJson(summary));
    writeFile(command->value("csv"), recordsCsv(runner.records()));
    (void)std::fputs(summaryText(summary).c_str(), stdout);
    return summary.allCorrect() ? 0 : 1;
}
