#include "EngineReplies.h"

#include "EngineState.h"

#include <nlohmann/json.hpp>

namespace tamarackcove {

HttpResponse errorReply(int status, std::string_view code, std::string_view message)
{
    const nlohmann::json body
        = {{"error", {{"message", message}, {"type", "engine_error"}, {"code", code}, {"param", nullptr}}}};
    return jsonResponse(status, body.dump());
}

static nlohmann::json commonFields(const EngineJob &job, std::string_view chatObject, std::string_view textObject)
{
    return {{"id", "cmpl-" + job.requestId},
            {"object", job.chat ? chatObject : textObject},
            {"created", std::chrono::system_clock::to_time_t(std::chrono::system_clock::now())},
            {"model", job.adapter},
            {"request_id", job.requestId}};
}

HttpResponse completionReply(const EngineJob &job)
{
    auto body = commonFields(job, "chat.completion", "text_completion");
    nlohmann::json choice = {{"index", 0}, {"finish_reason", "length"}};
    const auto text = job.function.text(0, job.tokens);
    if (job.chat) {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    constexpr std::size_t BytesPerToken = 4;
    const auto promptTokens = job.prompt.size() / BytesPerToken + 1;
    body["choices"] = nlohmann::json::array({choice});
    body["usage"] = {{"prompt_tokens", promptTokens},
                     {"completion_tokens", job.tokens},
                     {"total_tokens", promptTokens + job.tokens}};
    return jsonResponse(200, body.dump());
}

std::string tokenEvent(const EngineJob &job, std::size_t offset)
{
    auto body = commonFields(job, "chat.completion.chunk", "text_completion");
    body["offset"] = offset;
    nlohmann::json choice = {{"index", 0}, {"finish_reason", nullptr}};
    if (offset + 1 == job.tokens) {
        choice["finish_reason"] = "length";
    }
    if (job.chat) {
        choice["delta"] = {{"content", job.function.token(offset)}};
    } else {
        choice["text"] = job.function.token(offset);
    }
    body["choices"] = nlohmann::json::array({choice});
    return "data: " + body.dump() + "\n\n";
}

HttpResponse stateReply(const EngineState &state)
{
    auto adapters = nlohmann::json::array();
    for (const auto &[name, slot] : state.slots.slots()) {
        adapters.push_back({{"name", name},
                            {"state", slot.state == SlotState::Resident ? "resident" : "loading"},
                            {"running", slot.running}});
    }
    const nlohmann::json body = {{"id", state.settings.name},
                                 {"incarnation", state.incarnation},
                                 {"fencing_number", state.slots.highestFencingNumber().value()},
                                 {"adapters", adapters},
                                 {"running", state.batch.running()},
                                 {"waiting", state.batch.waiting()},
                                 {"slots", state.slots.capacity()},
                                 {"max_batch", state.settings.costs.maxBatch},
                                 {"batch_efficiency", state.batch.efficiency()},
                                 {"batch_steps", state.batch.steps()},
                                 {"unloads_in_use", state.slots.unloadsInUse()},
                                 {"stale_orders", state.slots.staleOrders()},
                                 {"loads", state.metrics.counter("engine_loads_total")},
                                 {"prefix_hits", state.prefixes.hits()},
                                 {"prefix_misses", state.prefixes.misses()}};
    return jsonResponse(200, body.dump());
}

HttpResponse executionsReply(const EngineState &state)
{
    int total = 0;
    int repeated = 0;
    for (const auto &[key, runs] : state.executions) {
        total += runs;
        repeated += runs > 1 ? 1 : 0;
    }
    const nlohmann::json body = {{"total", total}, {"repeated", repeated}, {"keys", state.executions}};
    return jsonResponse(200, body.dump());
}

} // namespace tamarackcove
