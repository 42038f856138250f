#include "tamarackcove/Operator/OperatorTool.h"

#include "tamarackcove/Operator/ControlApi.h"
#include "tamarackcove/Operator/Rendering.h"
#include "tamarackcove/Operator/RequestExplanation.h"
#include "tamarackcove/Settings/SettingsFile.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

namespace asio = boost::asio;

namespace tamarackcove {

using nlohmann::json;

static std::string randomCommandId()
{
    std::random_device random;
    return fmt::format("ctl-{:08x}{:08x}{:08x}{:08x}", random(), random(), random(), random());
}

/// Sends one request to the administration API and blocks until the answer.
static Result<HttpResponse, UnreachableError> sendRequest(const OperatorCommand &command, HttpRequest request)
{
    asio::io_context io;
    ControlApi::Options options;
    options.hosts = command.control;
    options.timeout = command.timeout;
    options.attemptTimeout = std::min(options.attemptTimeout, command.timeout);
    ControlApi api(std::move(options));
    Result<HttpResponse, UnreachableError> result = UnreachableError{};
    asio::co_spawn(
        io, [&]() -> asio::awaitable<void> { result = co_await api.send(std::move(request)); }, asio::detached);
    io.run();
    return result;
}

/// Runs one command: sends its requests and prints the answer.
class OperatorRun
{
public:
    OperatorRun(const OperatorCommand &command, std::ostream &out, std::ostream &err)
        : m_command(command)
        , m_out(out)
        , m_err(err)
        , m_commandId(command.commandId.empty() ? randomCommandId() : command.commandId)
    {
    }

    int run();
    /// Prints that an answer is not what the interface of the control hosts defines, and returns the exit code.
    int failUnreadable();

private:
    using Render = void (*)(const json &, std::ostream &);

    int createIntent();
    int confirmPlan(const std::string &plan);
    int show(std::string path, Render render);
    int explain();
    /// Returns the body of a successful answer; otherwise prints the error and returns nothing.
    std::optional<json> exchange(HttpRequest request, bool changesState);
    /// Prints the answer, if there is one, and returns the exit code.
    int finish(const std::optional<json> &answer, Render render);
    /// Prints the reason and returns the exit code.
    int fail(int code, const std::string &reason);

    const OperatorCommand &m_command;
    std::ostream &m_out;
    std::ostream &m_err;
    std::string m_commandId;
    int m_exitCode = 0;
    /// Whether the last request changes what is in force.
    bool m_changesState = false;
};

int OperatorRun::failUnreadable()
{
    std::string reason = "the answer of a control host cannot be read";
    if (m_changesState) {
        reason += "; whether the command was accepted is not known, resend it with --command-id " + m_commandId;
    }
    return fail(ExitUnreachable, reason);
}

int OperatorRun::fail(int code, const std::string &reason)
{
    m_err << "tamarackcovectl: " << reason << '\n';
    m_exitCode = code;
    return code;
}

std::optional<json> OperatorRun::exchange(HttpRequest request, bool changesState)
{
    m_changesState = changesState;
    const auto response = sendRequest(m_command, std::move(request));
    if (response.has_error()) {
        auto reason = "no control host gave an answer: " + response.error().detail;
        if (changesState) {
            reason += response.error().mayHaveTakenEffect
                ? "; whether the command was accepted is not known, resend it with --command-id " + m_commandId
                : "; the command was not accepted";
        }
        fail(ExitUnreachable, reason);
        return std::nullopt;
    }
    auto body = json::parse(response.value().body, nullptr, false);
    if (response.value().status == 200) {
        if (body.is_object()) {
            return body;
        }
        failUnreadable();
        return std::nullopt;
    }
    std::string reason = "status " + std::to_string(response.value().status);
    if (body.is_object() && body.contains("error")) {
        reason = body["error"].value("message", reason);
    }
    if (body.is_object() && body.contains("in_effect")) {
        reason += "; in effect is revision " + body["in_effect"].value("revision", json()).dump()
            + ", the last confirmed plan is " + body["in_effect"].value("last_confirmed_plan", std::string());
    }
    if (m_command.json && !body.is_discarded()) {
        m_out << body.dump(2) << '\n';
    }
    fail(ExitRefused, reason);
    return std::nullopt;
}

int OperatorRun::finish(const std::optional<json> &answer, Render render)
{
    if (!answer) {
        return m_exitCode;
    }
    if (m_command.json) {
        m_out << answer->dump(2) << '\n';
    } else {
        render(*answer, m_out);
    }
    return 0;
}

static void renderCreatedPlan(const json &plan, std::ostream &out)
{
    renderPlan(plan, out);
    out << "nothing has changed yet; to put it in force: tamarackcovectl plan confirm "
        << plan.value("plan", std::string()) << '\n';
}

static void renderConfirmation(const json &answer, std::ostream &out)
{
    out << "plan " << answer.value("plan", std::string()) << " is in effect as revision "
        << answer.value("revision", json()).dump() << '\n';
}

int OperatorRun::createIntent()
{
    std::ostringstream text;
    if (m_command.file == "-") {
        text << std::cin.rdbuf();
    } else {
        std::ifstream file(m_command.file);
        if (!file) {
            return fail(ExitUsage, "cannot read " + m_command.file);
        }
        text << file.rdbuf();
    }
    auto body = json::parse(text.str(), nullptr, false);
    if (!body.is_object()) {
        return fail(ExitUsage, m_command.file + " is not a json object");
    }
    body["command_id"] = m_commandId;
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/intents";
    request.body = body.dump();
    return finish(exchange(std::move(request), true), renderCreatedPlan);
}

int OperatorRun::confirmPlan(const std::string &plan)
{
    auto base = m_command.baseRevision;
    if (!base) {
        HttpRequest read;
        read.target = "/v1/plans/" + plan;
        const auto shown = exchange(std::move(read), false);
        if (!shown) {
            return m_exitCode;
        }
        base = shown->value("base_revision", std::uint64_t{0});
    }
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/plans/" + plan + "/confirm";
    request.body = json{{"command_id", m_commandId}, {"base_revision", *base}}.dump();
    return finish(exchange(std::move(request), true), renderConfirmation);
}

int OperatorRun::show(std::string path, Render render)
{
    HttpRequest request;
    request.target = std::move(path);
    return finish(exchange(std::move(request), false), render);
}

int OperatorRun::explain()
{
    const auto &words = m_command.words;
    RequestExplanation explanation(words[1]);
    for (std::size_t i = 2; i < words.size(); ++i) {
        if (words[i] == "-") {
            explanation.read("stdin", std::cin);
            continue;
        }
        std::ifstream file(words[i]);
        if (!file) {
            return fail(ExitUsage, "cannot read " + words[i]);
        }
        explanation.read(words[i], file);
    }
    if (!explanation.write(m_out)) {
        return fail(ExitRefused,
                    "no line names the request " + words[1]
                        + "; of the requests answered at the first attempt without waiting, one in 64 is logged");
    }
    return 0;
}

int OperatorRun::run()
{
    const auto &words = m_command.words;
    if (words[0] == "explain") {
        return explain();
    }
    if (words[0] == "status") {
        return show("/v1/status", renderStatus);
    }
    const bool intent = words[0] == "intent";
    if (words[1] == "create") {
        return createIntent();
    }
    if (words[1] == "confirm") {
        return confirmPlan(words[2]);
    }
    if (words[1] == "list") {
        return show(intent ? "/v1/intents" : "/v1/plans", intent ? renderIntents : renderPlans);
    }
    return show((intent ? "/v1/intents/" : "/v1/plans/") + words[2], intent ? renderIntent : renderPlan);
}

int runOperatorCommand(const OperatorCommand &command, std::ostream &out, std::ostream &err)
{
    OperatorRun operatorRun(command, out, err);
    try {
        return operatorRun.run();
    } catch (const json::exception &) {
        return operatorRun.failUnreadable();
    }
}

} // namespace tamarackcove
