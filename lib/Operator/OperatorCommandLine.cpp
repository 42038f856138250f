#include "tamarackcove/Operator/OperatorTool.h"
#include "tamarackcove/Settings/SettingsFile.h"

#include <ostream>
#include <tclap/CmdLine.h>

namespace tamarackcove {

static constexpr const char *Description
    = "operates tamarackcove\n"
      "Commands:\n"
      "  intent create --file FILE   create or replace an intent; shows the plan, changes nothing yet\n"
      "  intent list                 confirmed intents\n"
      "  intent show NAME            one confirmed intent\n"
      "  plan list                   plans that wait for their confirmation\n"
      "  plan show PLAN              what a plan changes\n"
      "  plan confirm PLAN           put a plan in force\n"
      "  status                      the whole system\n"
      "  explain ID FILE...          what the logs in these files tell about one request; - is standard input\n"
      "Exit codes: 0 done, 1 refused, 2 wrong use, 3 no control host could be reached";

/// Parses endpoints given as `ip:port,ip:port`, and appends them to `endpoints`.
static bool parseEndpoints(const std::vector<std::string> &texts, std::vector<Endpoint> &endpoints, std::ostream &err)
{
    for (const auto &text : texts) {
        std::size_t begin = 0;
        while (begin <= text.size()) {
            const auto end = std::min(text.find(',', begin), text.size());
            const auto part = text.substr(begin, end - begin);
            const auto endpoint = Endpoint::parse(part);
            if (!endpoint) {
                err << "tamarackcovectl: --control " << part
                    << " is not an IP address and port, as in 127.0.0.1:8080\n";
                return false;
            }
            endpoints.push_back(*endpoint);
            begin = end + 1;
        }
    }
    return true;
}

static bool isKnownCommand(const std::vector<std::string> &words)
{
    const auto is = [&](std::size_t count, std::string_view first, std::string_view second) {
        return words.size() == count && words[0] == first && (second.empty() || words[1] == second);
    };
    return is(2, "intent", "create") || is(2, "intent", "list") || is(3, "intent", "show") || is(2, "plan", "list")
        || is(3, "plan", "show") || is(3, "plan", "confirm") || is(1, "status", "")
        || (words.size() >= 3 && words[0] == "explain");
}

std::optional<OperatorCommand> parseOperatorCommand(int argc, const char *const *argv, const std::string &version,
                                                    std::ostream &err, int &exitCode)
{
    exitCode = ExitUsage;
    OperatorCommand command;
    try {
        TCLAP::CmdLine line(Description, ' ', version);
        line.setExceptionHandling(false);
        TCLAP::MultiArg<std::string> control("", "control", "administration endpoints of the control hosts", false,
                                             "IP:PORT[,IP:PORT]", line);
        TCLAP::ValueArg<std::string> file("f", "file", "intent as json; - is standard input", false, "", "FILE", line);
        TCLAP::ValueArg<std::string> id("", "command-id", "to resend a command whose answer was lost", false, "", "ID",
                                        line);
        TCLAP::ValueArg<std::uint64_t> base("", "base-revision", "confirm only if the plan was computed against it",
                                            false, 0, "REVISION", line);
        TCLAP::ValueArg<std::int64_t> timeout("", "timeout-ms", "give up after this time", false, 15000, "MS", line);
        TCLAP::SwitchArg json("", "json", "print the answer as json", line);
        TCLAP::UnlabeledMultiArg<std::string> words("command", "see above", true, "COMMAND", line);
        line.parse(argc, argv);
        if (!parseEndpoints(control.getValue(), command.control, err)) {
            return std::nullopt;
        }
        command.words = words.getValue();
        command.file = file.getValue();
        command.commandId = id.getValue();
        if (base.isSet()) {
            command.baseRevision = base.getValue();
        }
        command.timeout = milliseconds(timeout.getValue());
        command.json = json.getValue();
    } catch (const TCLAP::ArgException &error) {
        err << "tamarackcovectl: " << error.error() << ' ' << error.argId() << "; see --help\n";
        return std::nullopt;
    } catch (const TCLAP::ExitException &exit) {
        exitCode = exit.getExitStatus();
        return std::nullopt;
    }
    if (!isKnownCommand(command.words)) {
        err << "tamarackcovectl: unknown command; see --help\n";
        return std::nullopt;
    }
    if (command.words[0] != "explain" && command.control.empty()) {
        err << "tamarackcovectl: required argument missing: --control\n";
        return std::nullopt;
    }
    if (command.words[0] == "intent" && command.words[1] == "create" && command.file.empty()) {
        err << "tamarackcovectl: intent create needs --file FILE\n";
        return std::nullopt;
    }
    if (command.timeout <= milliseconds(0)) {
        err << "tamarackcovectl: --timeout-ms must be above 0\n";
        return std::nullopt;
    }
    return command;
}

} // namespace tamarackcove
