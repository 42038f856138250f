#include "tamarackcove/Entry/Callers/CallParser.h"

#include "tamarackcove/Base/Hash.h"
#include "tamarackcove/Configuration/ServingConfiguration.h"
#include "tamarackcove/Requests/CrashLedger.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace tamarackcove {

static constexpr std::string_view ServicePrefix = "/services/";

// Idempotency keys are stored in the replicated log, so their length is bounded.
static constexpr std::size_t MaxIdempotencyKeyBytes = 256;

static Refusal invalidRequest(std::string message)
{
    return Refusal{RefusalCode::InvalidRequest, std::move(message), {}};
}

static std::uint64_t digestOf(const HttpRequest &request)
{
    return hash64(request.body, hash64(request.target, hash64(request.method)));
}

/// Reads the headers that model calls and service calls share. Precondition: the call holds the defaults that the
/// headers override.
static Result<void, Refusal> readHeaders(const HttpRequest &request, TimePoint now, ParsedCall &parsed)
{
    auto &call = parsed.call;
    call.received = now;
    const auto &headers = request.headers;
    if (const auto text = headers.find("x-tamarackcove-priority")) {
        const auto priority = parsePriority(*text);
        if (!priority) {
            return invalidRequest("x-tamarackcove-priority must be high, normal or low");
        }
        call.priority = *priority;
    }
    if (const auto text = headers.find("x-tamarackcove-deadline-ms")) {
        std::int64_t value = 0;
        const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
        constexpr std::int64_t MaxDeadlineMs = 24LL * 3600 * 1000;
        if (error != std::errc() || end != text->data() + text->size() || value <= 0 || value > MaxDeadlineMs) {
            return invalidRequest("x-tamarackcove-deadline-ms must be a number of milliseconds up to one day");
        }
        call.deadline = now + milliseconds(value);
    }
    if (const auto text = headers.find("x-tamarackcove-repeatable")) {
        if (*text != "true" && *text != "false") {
            return invalidRequest("x-tamarackcove-repeatable must be true or false");
        }
        call.repeatable = *text == "true";
    }
    if (const auto key = headers.find("idempotency-key")) {
        if (key->empty() || key->size() > MaxIdempotencyKeyBytes) {
            return invalidRequest("idempotency-key must have 1 to 256 bytes");
        }
        call.idempotencyKey = *key;
    }
    call.forwarded = headers.find("x-tamarackcove-hop").has_value();
    call.digest = digestOf(request);
    const auto traceHeader = headers.find("traceparent");
    const auto parent = traceHeader ? TraceContext::parse(*traceHeader) : std::nullopt;
    parsed.trace = parent ? parent->child() : TraceContext::create();
    parsed.parentSpanId = parent ? parent->spanId : std::string();
    return ok();
}

static void copyHeader(const HttpRequest &from, HttpRequest &to, std::string_view name)
{
    if (const auto value = from.headers.find(name)) {
        to.headers.set(name, *value);
    }
}

static std::optional<AdapterRef> resolveAdapter(const std::string &model, const ServingConfiguration &configuration)
{
    if (auto adapter = AdapterRef::parse(model)) {
        return adapter;
    }
    return configuration.adapters.currentVersion(model);
}

Result<ParsedCall, Refusal> parseModelCall(const HttpRequest &request, const ServingConfiguration &configuration,
                                           TimePoint now)
{
    auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        return invalidRequest("request body must be a JSON object");
    }
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string()) {
        return invalidRequest("model must be a string of the form name or name@version");
    }
    const auto name = model->get<std::string>();
    const auto adapter = resolveAdapter(name, configuration);
    const auto record = adapter ? configuration.adapters.find(*adapter) : std::nullopt;
    if (!record) {
        return Refusal{RefusalCode::UnknownAdapter,
                       "no servable adapter is named " + name + ", list them with GET /v1/models",
                       {}};
    }
    ParsedCall parsed;
    auto &call = parsed.call;
    call.adapter = adapter;
    call.baseModel = record->baseModel;
    call.service = record->service;
    call.priority = record->priority;
    if (const auto route = configuration.services.find(call.service); route != configuration.services.end()) {
        call.sharePercent = route->second.sharePercent;
    }
    BOOST_OUTCOME_TRY(readHeaders(request, now, parsed));
    const auto stream = body.find("stream");
    call.streaming = stream != body.end() && stream->is_boolean() && stream->get<bool>();

    auto &outgoing = parsed.outgoing;
    outgoing.method = "POST";
    outgoing.target = request.target;
    outgoing.headers.set("content-type", "application/json");
    outgoing.headers.set("x-tamarackcove-priority", toString(call.priority));
    copyHeader(request, outgoing, "idempotency-key");
    const auto fullName = adapter->toString();
    if (fullName == name) {
        outgoing.body = request.body;
    } else {
        *model = fullName;
        outgoing.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
    call.fingerprint = CrashLedger::fingerprint(*adapter, outgoing.body);
    return parsed;
}

Result<ParsedCall, Refusal> parseServiceCall(const HttpRequest &request, const ServingConfiguration &configuration,
                                             TimePoint now)
{
    auto rest = std::string_view(request.target).substr(ServicePrefix.size());
    const auto nameEnd = rest.find_first_of("/?");
    const auto name = std::string(rest.substr(0, nameEnd));
    const auto route = configuration.services.find(ServiceName(name));
    if (route == configuration.services.end()) {
        return Refusal{RefusalCode::UnknownService, "no plain service is named " + name, {}};
    }
    ParsedCall parsed;
    auto &call = parsed.call;
    call.service = route->first;
    call.repeatable = route->second.repeatable;
    call.responseTimeout = route->second.timeout;
    call.sharePercent = route->second.sharePercent;
    BOOST_OUTCOME_TRY(readHeaders(request, now, parsed));
    call.fingerprint = hash64(request.body, hash64(request.target));

    auto &outgoing = parsed.outgoing;
    outgoing.method = request.method;
    rest = nameEnd == std::string_view::npos ? std::string_view() : rest.substr(nameEnd);
    outgoing.target = rest.starts_with('/') ? std::string(rest) : "/" + std::string(rest);
    for (const auto &[header, value] : request.headers.fields()) {
        const bool ownHeader = header.size() > 15 && std::string_view(header).substr(0, 15) == "x-tamarackcove-";
        if (!ownHeader && header != "traceparent") {
            outgoing.headers.set(header, value);
        }
    }
    outgoing.headers.set("x-tamarackcove-priority", toString(call.priority));
    outgoing.body = request.body;
    return parsed;
}

} // namespace tamarackcove
