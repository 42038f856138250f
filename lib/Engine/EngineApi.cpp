#include "EngineApi.h"

#include "AdapterOrders.h"
#include "EngineReplies.h"
#include "StreamWriter.h"
#include "tamarackcove/Base/Hash.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Observe/LogLine.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr int BadRequest = 400;
static constexpr int NotFound = 404;
static constexpr int Conflict = 409;
static constexpr int InternalError = 500;
static constexpr std::size_t DefaultTokens = 16;

EngineApi::EngineApi(EngineState &state, Hooks hooks)
    : m_state(state)
    , m_hooks(std::move(hooks))
{
}

asio::awaitable<bool> EngineApi::waitWhileSilenced(HttpResponder &responder)
{
    constexpr milliseconds CheckInterval{50};
    Timer timer(m_state.executor);
    while (m_state.faults.silenceOpenConnections && responder.connectionNumber() < m_state.firstUnsilencedConnection) {
        if (responder.callerGone()) {
            co_return false;
        }
        timer.expires_after(CheckInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_return true;
}

asio::awaitable<void> EngineApi::handle(const HttpRequest &request, HttpResponder &responder)
{
    const auto path = request.path();
    HttpResponse reply;
    if (path == "/faults" && request.method == "POST") {
        co_await handleFaultChange(request, responder);
        co_return;
    }
    if (!co_await waitWhileSilenced(responder)) {
        co_return;
    }
    if (path == "/healthz") {
        reply = jsonResponse(200, "{}");
    } else if (path == "/v1/state" || path == "/state") {
        reply = stateReply(m_state);
    } else if (path == "/executions") {
        reply = executionsReply(m_state);
    } else if (path == "/metrics") {
        m_state.metrics.gauge("engine_batch_efficiency_ratio", m_state.batch.efficiency());
        m_state.metrics.gauge("engine_requests_running", static_cast<double>(m_state.batch.running()));
        m_state.metrics.gauge("engine_requests_waiting", static_cast<double>(m_state.batch.waiting()));
        reply.headers.set("content-type", "text/plain; version=0.0.4");
        reply.body = m_state.metrics.exposition();
    } else if (m_state.settings.isPlainService) {
        co_await handleService(request, responder);
        co_return;
    } else {
        co_await handleEngine(request, responder);
        co_return;
    }
    (void)co_await responder.send(std::move(reply));
}

asio::awaitable<void> EngineApi::handleEngine(const HttpRequest &request, HttpResponder &responder)
{
    const auto path = request.path();
    HttpResponse reply;
    if (path == "/v1/models") {
        auto models = nlohmann::json::array();
        for (const auto &name : m_state.slots.residentAdapters()) {
            models.push_back({{"id", name}, {"object", "model"}});
        }
        reply = jsonResponse(200, nlohmann::json{{"object", "list"}, {"data", models}}.dump());
    } else if (request.method != "POST") {
        reply = errorReply(NotFound, "not_found", fmt::format("{} {} is not served", request.method, path));
    } else if (path == "/v1/completions" || path == "/v1/chat/completions") {
        co_await complete(request, responder, path == "/v1/chat/completions");
        co_return;
    } else if (path == "/v1/resume") {
        co_await resume(request, responder);
        co_return;
    } else if (path == "/v1/cancel") {
        co_await cancel(request, responder);
        co_return;
    } else if (path == "/v1/load_lora_adapter") {
        reply = co_await loadAdapter(m_state, request);
    } else if (path == "/v1/unload_lora_adapter") {
        reply = unloadAdapter(m_state, request);
    } else {
        reply = errorReply(NotFound, "not_found", fmt::format("POST {} is not served", path));
    }
    (void)co_await responder.send(std::move(reply));
}

static std::string contentText(const nlohmann::json &value)
{
    if (value.is_string()) {
        return value.get<std::string>();
    }
    return value.is_null() ? std::string() : value.dump();
}

static std::string promptOf(const nlohmann::json &body, bool chat)
{
    if (!chat) {
        const auto found = body.find("prompt");
        return found == body.end() ? std::string() : contentText(*found);
    }
    std::string prompt;
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array()) {
        return prompt;
    }
    for (const auto &message : *messages) {
        const auto content = message.is_object() ? message.value("content", nlohmann::json()) : nlohmann::json();
        prompt += prompt.empty() ? "" : "\n";
        prompt += contentText(content);
    }
    return prompt;
}

static Priority priorityOf(const HttpRequest &request)
{
    const auto header = request.headers.find("x-tamarackcove-priority");
    return header ? parsePriority(*header).value_or(Priority::Normal) : Priority::Normal;
}

static std::string requestIdOf(EngineState &state, const HttpRequest &request, const nlohmann::json &body)
{
    const auto field = body.find("request_id");
    if (field != body.end() && field->is_string()) {
        return field->get<std::string>();
    }
    const auto header = request.headers.find("x-request-id");
    return header ? std::string(*header) : fmt::format("{}-{}", state.settings.name, ++state.nextRequest);
}

static std::string executionKey(const HttpRequest &request, std::string_view text)
{
    const auto header = request.headers.find("idempotency-key");
    return header ? std::string(*header) : std::string(text.substr(0, text.find(' ')));
}

static bool isNumber(const nlohmann::json &body, const char *key)
{
    const auto found = body.find(key);
    return found != body.end() && found->is_number_unsigned();
}

asio::awaitable<void> EngineApi::complete(const HttpRequest &request, HttpResponder &responder, bool chat)
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("model") || !body["model"].is_string()) {
        (void)co_await responder.send(
            errorReply(BadRequest, "malformed", "the body must be a JSON object with a string model"));
        co_return;
    }
    const auto model = body["model"].get<std::string>();
    if (!m_state.slots.isResident(model)) {
        (void)co_await responder.send(
            errorReply(NotFound, "adapter_not_loaded", fmt::format("load adapter {} first", model)));
        co_return;
    }
    const auto id = requestIdOf(m_state, request, body);
    if (m_state.jobs.contains(id)) {
        (void)co_await responder.send(
            errorReply(Conflict, "duplicate_request",
                       fmt::format("request id {} is already in use; resume that request instead", id)));
        co_return;
    }
    const auto tokens = isNumber(body, "max_tokens") ? body["max_tokens"].get<std::size_t>() : DefaultTokens;
    const auto job = std::make_shared<EngineJob>(m_state.executor, id, model, promptOf(body, chat),
                                                 std::max<std::size_t>(tokens, 1));
    job->chat = chat;
    job->stream = body.contains("stream") && body["stream"] == true;
    job->executionKey = executionKey(request, job->prompt);
    m_state.jobs.emplace(id, job);
    m_state.slots.beginRequest(model);
    m_state.metrics.count("engine_requests_total");
    m_state.batch.add({.requestId = id,
                       .priority = priorityOf(request),
                       .tokens = job->tokens,
                       .uncachedPromptTokens = m_state.prefixes.insert(model, job->prompt)});
    m_state.workArrived.cancel();
    co_await writeResult(job, responder, 0);
}

asio::awaitable<void> EngineApi::writeResult(std::shared_ptr<EngineJob> job, HttpResponder &responder,
                                             std::size_t offset)
{
    if (job->stream) {
        StreamWriter writer(m_state, responder, job, [this, &responder] { return waitWhileSilenced(responder); });
        co_await writer.write(offset);
        co_return;
    }
    while (job->state == JobState::Active) {
        boost::system::error_code ignored;
        co_await job->changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (!co_await waitWhileSilenced(responder)) {
        co_return;
    }
    auto reply = job->state == JobState::Done
        ? completionReply(*job)
        : errorReply(InternalError, "aborted", "the request was aborted in the engine");
    (void)co_await responder.send(std::move(reply));
}

asio::awaitable<void> EngineApi::resume(const HttpRequest &request, HttpResponder &responder)
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("request_id") || !body["request_id"].is_string()
        || !isNumber(body, "offset")) {
        (void)co_await responder.send(
            errorReply(BadRequest, "malformed",
                       "the body must be a JSON object with a string request_id and a non-negative integer offset"));
        co_return;
    }
    const auto found = m_state.jobs.find(body["request_id"].get<std::string>());
    const auto offset = body["offset"].get<std::size_t>();
    if (found == m_state.jobs.end() || found->second->state == JobState::Aborted
        || found->second->state == JobState::Cancelled || offset > found->second->tokens) {
        (void)co_await responder.send(
            errorReply(NotFound, "unknown_request", "no request with this request_id can be resumed at this offset"));
        co_return;
    }
    m_state.metrics.count("engine_resumes_total");
    const auto job = found->second;
    co_await writeResult(job, responder, offset);
}

asio::awaitable<void> EngineApi::cancel(const HttpRequest &request, HttpResponder &responder)
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    const auto id = body.is_object() ? body.value("request_id", std::string()) : std::string();
    const auto found = m_state.jobs.find(id);
    if (found == m_state.jobs.end()) {
        (void)co_await responder.send(errorReply(NotFound, "unknown_request", "no request has this request_id"));
        co_return;
    }
    m_state.metrics.count("engine_cancels_total");
    m_state.endJob(*found->second, JobState::Cancelled);
    (void)co_await responder.send(jsonResponse(200, R"({"status":"cancelled"})"));
}

asio::awaitable<void> EngineApi::handleFaultChange(const HttpRequest &request, HttpResponder &responder)
{
    auto body = nlohmann::json::parse(request.body, nullptr, false);
    bool restart = false;
    if (body.is_object() && body.contains("cold_restart")) {
        restart = body["cold_restart"] == true;
        body.erase("cold_restart");
    }
    const bool wasSilencing = m_state.faults.silenceOpenConnections;
    const auto changed = changeFaults(m_state.faults, body);
    if (changed.has_error()) {
        (void)co_await responder.send(errorReply(BadRequest, "malformed", changed.error().detail));
        co_return;
    }
    if (m_state.faults.silenceOpenConnections && !wasSilencing) {
        m_state.firstUnsilencedConnection = m_hooks.newestConnection() + 1;
    }
    m_state.batch.setSlowdown(m_state.faults.slowFactor);
    if (restart) {
        m_state.coldRestart();
    }
    LogLine(LogLevel::Info, "faults_changed").add("changes", request.body);
    (void)co_await responder.send(jsonResponse(200, "{}"));
}

asio::awaitable<void> EngineApi::handleService(const HttpRequest &request, HttpResponder &responder)
{
    const auto key = executionKey(request, request.body);
    const auto executionNumber = ++m_state.executions[key];
    m_state.metrics.count("service_requests_total");
    if (!m_state.faults.crashMarker.empty() && request.body.find(m_state.faults.crashMarker) != std::string::npos) {
        LogLine(LogLevel::Error, "crash").add("key", key);
        std::_Exit(CrashExitCode);
    }
    if (m_state.settings.serviceTime > milliseconds(0)) {
        ++m_state.requestsInService;
        Timer timer(m_state.executor, m_state.settings.serviceTime);
        co_await timer.async_wait(asio::use_awaitable);
        --m_state.requestsInService;
    }
    if (!co_await waitWhileSilenced(responder)) {
        co_return;
    }
    const nlohmann::json body = {{"service", m_state.settings.serviceName},
                                 {"path", request.path()},
                                 {"key", key},
                                 {"execution", executionNumber},
                                 {"digest", fmt::format("{:016x}", hash64(request.body))}};
    (void)co_await responder.send(jsonResponse(200, body.dump()));
}

} // namespace tamarackcove
