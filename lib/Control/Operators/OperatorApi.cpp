#include "tamarackcove/Control/Operators/OperatorApi.h"

#include "tamarackcove/Base/Hash.h"
#include "tamarackcove/Consensus/ReplicaOptions.h"
#include "tamarackcove/Control/Operators/StatusPage.h"
#include "tamarackcove/Control/State/CommandCodec.h"
#include "tamarackcove/Control/State/IntentJson.h"
#include "tamarackcove/Control/State/ReplicatedState.h"
#include "tamarackcove/Control/Watchers/LeaderState.h"
#include "tamarackcove/Http/HttpRequest.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Observe/Metrics.h"

#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace asio = boost::asio;

namespace tamarackcove {

using nlohmann::json;

static constexpr std::size_t MaxCommandIdBytes = 200;

static HttpResponse errorResponse(int status, std::string_view code, std::string_view message)
{
    return jsonResponse(status, json{{"error", {{"code", code}, {"message", message}}}}.dump());
}

static HttpResponse redirect(const HttpRequest &request, const Endpoint &leader)
{
    auto response = errorResponse(307, "not_leader", "this replica does not lead; send the request to the leader");
    response.headers.set("location", "http://" + leader.toString() + request.target);
    return response;
}

/// Maps an error of the log to a redirect, or to an error that tells the operator whether and how to retry.
static HttpResponse logErrorResponse(const HttpRequest &request, const LogError &error, const LogStatus &status)
{
    const auto &leader = error.leader ? error.leader : status.leader;
    if (error.code == LogErrorCode::NotLeader && leader && status.role != "leader") {
        return redirect(request, *leader);
    }
    if (error.code == LogErrorCode::OutcomeUnknown) {
        return errorResponse(504, "outcome_unknown",
                             "it is not known whether the command was accepted; resend it with the same command_id");
    }
    auto response = errorResponse(
        503, "no_majority",
        "no majority of the control group can be reached, the command was not accepted; retry when enough control "
        "hosts are up: "
            + error.detail);
    response.headers.set("retry-after", "1");
    return response;
}

OperatorApi::OperatorApi(ControlParts parts)
    : m_parts(parts)
{
}

asio::awaitable<void> OperatorApi::handle(const HttpRequest &request, HttpResponder &responder)
{
    const auto startedAt = Clock::now();
    auto response = co_await respond(request);
    m_parts.metrics.count("operator_requests_total{status=\"" + std::to_string(response.status) + "\"}");
    m_parts.metrics.observe("operator_request_seconds", Clock::now() - startedAt);
    (void)co_await responder.send(std::move(response));
}

/// Returns the part of a path between a prefix and a suffix; empty if the path does not match or the part is empty.
static std::string_view between(std::string_view path, std::string_view prefix, std::string_view suffix)
{
    if (path.size() <= prefix.size() + suffix.size() || !path.starts_with(prefix) || !path.ends_with(suffix)) {
        return {};
    }
    return path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
}

asio::awaitable<HttpResponse> OperatorApi::respond(const HttpRequest &request)
{
    const auto path = request.path();
    const bool post = request.method == "POST";
    if (post && path == "/v1/intents") {
        co_return co_await createIntent(request);
    }
    if (const auto plan = between(path, "/v1/plans/", "/confirm"); post && !plan.empty()) {
        co_return co_await confirmPlan(request, std::string(plan));
    }
    if (request.method != "GET") {
        co_return errorResponse(405, "method_not_allowed", "this path does not support the method " + request.method);
    }
    if (path == "/v1/status") {
        co_return co_await status(request);
    }
    if (path == "/v1/intents") {
        co_return co_await readAsLeader(request, [this] { return listIntents(); });
    }
    if (path == "/v1/plans") {
        co_return co_await readAsLeader(request, [this] { return listPlans(); });
    }
    if (const auto name = between(path, "/v1/intents/", ""); !name.empty()) {
        co_return co_await readAsLeader(request, [this, name] { return showIntent(name); });
    }
    if (const auto id = between(path, "/v1/plans/", ""); !id.empty()) {
        co_return co_await readAsLeader(request, [this, id] { return showPlan(id); });
    }
    if (path == "/metrics") {
        co_return metrics();
    }
    if (path == "/healthz") {
        co_return jsonResponse(200, R"({"status":"ok"})");
    }
    co_return errorResponse(404, "not_found", "unknown path " + std::string(path));
}

/// Parses the body of a command and checks its command_id. Returns the error text if the body is invalid.
static std::variant<json, std::string> parseCommandBody(const HttpRequest &request)
{
    auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        return std::string("the body must be a json object");
    }
    const auto id = body.find("command_id");
    if (id == body.end() || !id->is_string() || id->get_ref<const std::string &>().empty()
        || id->get_ref<const std::string &>().size() > MaxCommandIdBytes) {
        return std::string("command_id must be a string of 1 to 200 bytes, the same one when a command is resent");
    }
    return body;
}

asio::awaitable<HttpResponse> OperatorApi::createIntent(const HttpRequest &request)
{
    const auto read = parseCommandBody(request);
    if (const auto *reason = std::get_if<std::string>(&read)) {
        co_return errorResponse(400, "invalid_request", *reason);
    }
    const auto &body = std::get<json>(read);
    auto intent = intentFromJson(body);
    if (intent.has_error()) {
        co_return errorResponse(400, "invalid_intent", intent.error().detail);
    }
    CreateIntent command;
    command.id = CommandId(body.at("command_id").get<std::string>());
    command.digest = hash64(intentToJson(intent.value()).dump());
    command.intent = std::make_shared<const Intent>(std::move(intent).value());
    co_return co_await propose(request, Command(std::move(command)));
}

asio::awaitable<HttpResponse> OperatorApi::confirmPlan(const HttpRequest &request, std::string plan)
{
    const auto read = parseCommandBody(request);
    if (const auto *reason = std::get_if<std::string>(&read)) {
        co_return errorResponse(400, "invalid_request", *reason);
    }
    const auto &body = std::get<json>(read);
    const auto base = body.find("base_revision");
    if (base == body.end() || !base->is_number_unsigned()) {
        co_return errorResponse(400, "invalid_request",
                                "base_revision must be the unsigned integer that the plan shows");
    }
    ConfirmPlan command;
    command.id = CommandId(body.at("command_id").get<std::string>());
    command.base = Revision(base->get<std::uint64_t>());
    command.digest = hash64(plan, command.base.value());
    command.plan = PlanId(std::move(plan));
    co_return co_await propose(request, Command(std::move(command)));
}

asio::awaitable<HttpResponse> OperatorApi::propose(const HttpRequest &request, Command command)
{
    auto bytes = encodeCommand(command);
    if (bytes.size() > MaxCommandBytes) {
        co_return errorResponse(413, "too_large",
                                "the intent has " + std::to_string(bytes.size()) + " bytes, more than "
                                    + std::to_string(MaxCommandBytes) + "; split it into several intents");
    }
    const auto applied = co_await m_parts.log.propose(std::move(bytes));
    if (applied.has_error()) {
        co_return logErrorResponse(request, applied.error(), m_parts.log.status());
    }
    int httpStatus = 500;
    const auto answer = decodeOperatorAnswer(applied.value(), httpStatus);
    LogLine(LogLevel::Info, "operator_command")
        .add("path", request.path())
        .add("status", httpStatus)
        .add("revision", m_parts.state.state().servingConfiguration().revision.value());
    co_return jsonResponse(httpStatus, answer.dump());
}

asio::awaitable<HttpResponse> OperatorApi::readAsLeader(const HttpRequest &request, std::function<HttpResponse()> read)
{
    const auto barrier = co_await m_parts.log.readBarrier();
    if (barrier.has_error()) {
        co_return logErrorResponse(request, barrier.error(), m_parts.log.status());
    }
    co_return read();
}

asio::awaitable<HttpResponse> OperatorApi::status(const HttpRequest &request)
{
    const bool localOnly = request.target.find("?local") != std::string::npos;
    bool leadershipConfirmed = false;
    if (!localOnly) {
        const auto barrier = co_await m_parts.log.readBarrier();
        leadershipConfirmed = barrier.has_value();
        if (barrier.has_error()) {
            const auto log = m_parts.log.status();
            const auto &leader = barrier.error().leader ? barrier.error().leader : log.leader;
            if (barrier.error().code == LogErrorCode::NotLeader && leader && log.role != "leader") {
                co_return redirect(request, *leader);
            }
        }
    }
    // Without a leader the operator still gets the state of this replica.
    co_return jsonResponse(200, statusPage(m_parts, Clock::now(), leadershipConfirmed).dump());
}

HttpResponse OperatorApi::listIntents() const
{
    json list = json::array();
    for (const auto &[name, intent] : m_parts.state.state().contents().intents) {
        list.push_back({{"name", name.value()},
                        {"service", intent->service.value()},
                        {"priority", toString(intent->priority)},
                        {"adapters", intent->adapters.size()}});
    }
    return jsonResponse(
        200,
        json{{"revision", m_parts.state.state().servingConfiguration().revision.value()}, {"intents", list}}.dump());
}

HttpResponse OperatorApi::showIntent(std::string_view name) const
{
    const auto &intents = m_parts.state.state().contents().intents;
    const auto found = intents.find(IntentName(std::string(name)));
    if (found == intents.end()) {
        return errorResponse(404, "unknown_intent", "no confirmed intent has the name " + std::string(name));
    }
    return jsonResponse(200, intentToJson(*found->second).dump());
}

HttpResponse OperatorApi::listPlans() const
{
    json list = json::array();
    const auto &contents = m_parts.state.state().contents();
    for (const auto &[id, plan] : contents.pending) {
        list.push_back({{"plan", id.value()},
                        {"intent", plan->intent->name.value()},
                        {"base_revision", plan->base.value()},
                        {"confirmable", plan->base >= contents.operatorRevision}});
    }
    return jsonResponse(200, json{{"plans", list}}.dump());
}

HttpResponse OperatorApi::showPlan(std::string_view id) const
{
    const PlanId planId{std::string(id)};
    const auto &state = m_parts.state.state();
    const auto plan = state.findPlan(planId);
    if (!plan) {
        return errorResponse(404, "unknown_plan", "plan " + std::string(id) + " is not known");
    }
    constexpr std::size_t MaxListed = 20000;
    auto page = planToJson(*plan, MaxListed);
    const bool pending = state.contents().pending.contains(planId);
    page["pending"] = pending;
    page["confirmable"] = pending && plan->base >= state.contents().operatorRevision;
    return jsonResponse(200, page.dump());
}

/// Sets the gauges of this process's CPU time and resident memory.
static void setProcessGauges(Metrics &registry)
{
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    const auto inSeconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
    };
    registry.gauge("process_cpu_seconds", inSeconds(usage.ru_utime) + inSeconds(usage.ru_stime));
    std::ifstream statm("/proc/self/statm");
    std::uint64_t totalPages = 0;
    std::uint64_t residentPages = 0;
    if (statm >> totalPages >> residentPages) {
        registry.gauge("process_resident_bytes",
                       static_cast<double>(residentPages) * static_cast<double>(::sysconf(_SC_PAGESIZE)));
    }
}

HttpResponse OperatorApi::metrics() const
{
    const auto &state = m_parts.state.state();
    const auto log = m_parts.log.status();
    auto &registry = m_parts.metrics;
    registry.gauge("revision", static_cast<double>(state.servingConfiguration().revision.value()));
    registry.gauge("adapters", static_cast<double>(state.servingConfiguration().adapters.size()));
    registry.gauge("leads", log.role == "leader" ? 1 : 0);
    registry.gauge("term", static_cast<double>(log.term));
    registry.gauge("applied_index", static_cast<double>(log.appliedIndex));
    registry.gauge("losses_tolerated", log.lossesTolerated);
    registry.gauge("plans_pending", static_cast<double>(state.contents().pending.size()));
    registry.gauge("call_reservations", static_cast<double>(state.calls().contents().records.size()));
    registry.gauge("quarantined", static_cast<double>(state.quarantine().contents().quarantined.size()));
    setProcessGauges(registry);
    HttpResponse response;
    response.headers.set("content-type", "text/plain; version=0.0.4");
    response.body = registry.exposition();
    return response;
}

} // namespace tamarackcove
