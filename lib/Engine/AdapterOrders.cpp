#include "AdapterOrders.h"

#include "EngineReplies.h"
#include "EngineState.h"
#include "tamarackcove/Http/HttpConnection.h"
#include "tamarackcove/Observe/LogLine.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr int BadRequest = 400;
static constexpr int NotFound = 404;
static constexpr int Conflict = 409;
static constexpr int BadGateway = 502;

static std::string adapterOf(const HttpRequest &request)
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    const auto field = body.is_object() ? body.find("lora_name") : body.end();
    return field != body.end() && field->is_string() ? field->get<std::string>() : std::string();
}

static std::optional<std::uint64_t> numberHeader(const HttpRequest &request, std::string_view name)
{
    const auto header = request.headers.find(name);
    std::uint64_t value = 0;
    if (!header || std::from_chars(header->data(), header->data() + header->size(), value).ec != std::errc()) {
        return std::nullopt;
    }
    return value;
}

/// An order without a fencing number is treated as having the highest one received so far.
static FencingNumber fencingNumberOf(const EngineState &state, const HttpRequest &request)
{
    const auto number = numberHeader(request, "x-fencing-number");
    return number ? FencingNumber(*number) : state.slots.highestFencingNumber();
}

static asio::awaitable<bool> fetchWeights(EngineState &state, const std::string &adapter, milliseconds timeout)
{
    if (state.faults.failNextLoads > 0) {
        --state.faults.failNextLoads;
        co_return false;
    }
    if (state.sampleFault(state.faults.loadFailProbability)) {
        co_return false;
    }
    if (!state.settings.store) {
        co_return true;
    }
    HttpRequest request;
    request.target = "/adapters/" + adapter;
    const auto response = co_await httpExchange(*state.settings.store, std::move(request), timeout);
    co_return response.has_value() && response.value().status == 200;
}

static HttpResponse staleFencingReply(const EngineState &state)
{
    return errorReply(Conflict, "stale_fencing_number",
                      fmt::format("the fencing number of the order is lower than the highest received, {}",
                                  state.slots.highestFencingNumber().value()));
}

static HttpResponse loadResultReply(const EngineState &state, const std::string &adapter)
{
    if (!state.slots.isResident(adapter)) {
        return errorReply(BadGateway, "load_failed", fmt::format("adapter {} could not be loaded", adapter));
    }
    return jsonResponse(200, R"({"status":"loaded"})");
}

asio::awaitable<HttpResponse> loadAdapter(EngineState &state, const HttpRequest &request)
{
    const auto adapter = adapterOf(request);
    if (adapter.empty()) {
        co_return errorReply(BadRequest, "malformed",
                             "the body must be a JSON object with a non-empty string lora_name");
    }
    const auto incarnation = state.incarnation;
    switch (state.slots.load(adapter, fencingNumberOf(state, request))) {
    case LoadDecision::StaleFencing:
        co_return staleFencingReply(state);
    case LoadDecision::NoFreeSlot:
        co_return errorReply(Conflict, "no_free_slot", "all adapter slots are in use; unload an adapter first");
    case LoadDecision::AlreadyResident:
        break;
    case LoadDecision::AlreadyLoading:
        while (state.slots.slots().contains(adapter) && !state.slots.isResident(adapter)) {
            boost::system::error_code ignored;
            co_await state.loadEnded.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        break;
    case LoadDecision::Fetch:
        const auto deadline = numberHeader(request, "x-order-deadline-ms");
        const auto timeout
            = deadline ? std::min(milliseconds(*deadline), state.settings.loadTimeout) : state.settings.loadTimeout;
        const auto loadStart = Clock::now();
        const bool loaded = co_await fetchWeights(state, adapter, timeout);
        if (incarnation != state.incarnation) {
            co_return errorReply(BadGateway, "load_failed", "the engine restarted during the load");
        }
        state.slots.finishLoad(adapter, loaded);
        state.loadEnded.cancel();
        state.metrics.count(loaded ? "engine_loads_total" : "engine_failed_loads_total");
        LogLine(LogLevel::Info, loaded ? "adapter_loaded" : "load_failed")
            .add("adapter", adapter)
            .add("took_ms", duration_cast<milliseconds>(Clock::now() - loadStart));
        break;
    }
    co_return loadResultReply(state, adapter);
}

HttpResponse unloadAdapter(EngineState &state, const HttpRequest &request)
{
    const auto adapter = adapterOf(request);
    switch (state.slots.unload(adapter, fencingNumberOf(state, request))) {
    case UnloadDecision::StaleFencing:
        return staleFencingReply(state);
    case UnloadDecision::NotLoaded:
        return errorReply(NotFound, "adapter_not_loaded", fmt::format("adapter {} is not loaded", adapter));
    case UnloadDecision::StillLoading:
        return errorReply(Conflict, "adapter_loading", "the adapter is still loading; retry when the load has ended");
    case UnloadDecision::UnloadedInUse:
        LogLine(LogLevel::Error, "unloaded_in_use").add("adapter", adapter);
        state.abortJobs(adapter);
        break;
    case UnloadDecision::Unloaded:
        break;
    }
    LogLine(LogLevel::Info, "adapter_unloaded").add("adapter", adapter);
    return jsonResponse(200, R"({"status":"unloaded"})");
}

} // namespace tamarackcove
