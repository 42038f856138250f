#include "tamarackcove/Entry/Callers/CallerFrontEnd.h"

#include "tamarackcove/Configuration/ServingConfiguration.h"
#include "tamarackcove/Entry/Callers/CallParser.h"
#include "tamarackcove/Entry/Callers/ErrorBody.h"
#include "tamarackcove/Entry/Callers/RequestPath.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Observe/Tracer.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <random>

namespace asio = boost::asio;

namespace tamarackcove {

/// A large list of models is written in pieces of about this size instead of as one body.
static constexpr std::size_t ModelListPieceBytes = 32 * 1024;
static constexpr milliseconds RetryAfter{1000};

CallerFrontEnd::CallerFrontEnd(EntryId self, RequestPath &path, Tracer &tracer, Hooks hooks)
    : m_self(std::move(self))
    , m_requestPath(path)
    , m_tracer(tracer)
    , m_hooks(std::move(hooks))
    , m_idPrefix(fmt::format("{}-{:08x}-", m_self.value(), std::random_device()()))
{
}

RequestId CallerFrontEnd::nextRequestId()
{
    return RequestId(m_idPrefix + std::to_string(++m_lastId));
}

asio::awaitable<void> CallerFrontEnd::handle(const HttpRequest &request, HttpResponder &responder)
{
    const auto path = request.path();
    const bool completion = path == "/v1/completions" || path == "/v1/chat/completions";
    if ((completion && request.method == "POST") || path.starts_with("/services/")) {
        if (!m_hooks.hasConfiguration()) {
            Refusal refusal;
            refusal.message = "this entry has no configuration yet, retry at another one";
            refusal.retryAfter = RetryAfter;
            auto refused = errorResponse(refusal);
            (void)co_await responder.send(std::move(refused));
            co_return;
        }
        const auto now = Clock::now();
        auto parsed = completion ? parseModelCall(request, m_hooks.configuration(), now)
                                 : parseServiceCall(request, m_hooks.configuration(), now);
        if (parsed.has_error()) {
            auto refused = errorResponse(parsed.error());
            (void)co_await responder.send(std::move(refused));
            co_return;
        }
        co_await serve(std::move(parsed.value()), responder);
        co_return;
    }
    if (path == "/v1/models" && request.method == "GET") {
        co_await listModels(responder);
        co_return;
    }
    HttpResponse response;
    const auto route = m_hooks.routes.find(fmt::format("{} {}", request.method, path));
    if (route != m_hooks.routes.end()) {
        response = route->second(request);
    } else {
        Refusal refusal;
        refusal.code = RefusalCode::UnknownPath;
        refusal.message = fmt::format("{} {} is not served here", request.method, path);
        response = errorResponse(refusal);
    }
    (void)co_await responder.send(std::move(response));
}

asio::awaitable<void> CallerFrontEnd::serve(ParsedCall parsed, HttpResponder &responder)
{
    parsed.call.id = nextRequestId();
    // Makes the target's span a child of the span of this entry.
    parsed.outgoing.headers.set("traceparent", parsed.trace.header());
    if (!m_tracer.enabled()) {
        co_await m_requestPath.serve(std::move(parsed.call), std::move(parsed.outgoing), responder);
        co_return;
    }
    Span span;
    span.name = "entry " + std::string(parsed.outgoing.path());
    span.context = parsed.trace;
    span.parentSpanId = parsed.parentSpanId;
    span.start = std::chrono::system_clock::now();
    span.attributes["request"] = parsed.call.id.value();
    if (parsed.call.adapter) {
        span.attributes["adapter"] = parsed.call.adapter->toString();
    }
    span.attributes["service"] = parsed.call.service.value();
    co_await m_requestPath.serve(std::move(parsed.call), std::move(parsed.outgoing), responder);
    span.end = std::chrono::system_clock::now();
    span.failed = !responder.started();
    m_tracer.write(span);
}

asio::awaitable<void> CallerFrontEnd::listModels(HttpResponder &responder)
{
    const auto adapters = m_hooks.configuration().adapters.all();
    if ((co_await responder.beginStream(streamHead("application/json"))).has_error()) {
        co_return;
    }
    std::string out = R"({"object":"list","data":[)";
    bool first = true;
    for (const auto &adapter : adapters) {
        // The configuration may change while a piece is written; adapters removed meanwhile are skipped.
        const auto record = m_hooks.configuration().adapters.find(adapter);
        if (!record) {
            continue;
        }
        const nlohmann::json model = {{"id", adapter.toString()},
                                      {"object", "model"},
                                      {"owned_by", record->service.value()},
                                      {"parent", record->baseModel.value()},
                                      {"current", record->current}};
        out += first ? "" : ",";
        out += model.dump();
        first = false;
        if (out.size() >= ModelListPieceBytes) {
            if ((co_await responder.writePiece(out)).has_error()) {
                co_return;
            }
            out.clear();
        }
    }
    out += "]}";
    if ((co_await responder.writePiece(out)).has_value()) {
        (void)co_await responder.endStream();
    }
}

} // namespace tamarackcove
