#include "tamarackcove/Entry/Coordinator/EngineOrders.h"

#include <nlohmann/json.hpp>

namespace tamarackcove {

Result<EngineStateReport, std::string> parseEngineState(std::string_view body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return std::string("engine state is not a JSON object");
    }
    try {
        EngineStateReport report;
        report.incarnation = Incarnation(json.at("incarnation").get<std::uint64_t>());
        report.highestFencingNumber = FencingNumber(json.value("fencing_number", std::uint64_t(0)));
        for (const auto &item : json.at("adapters")) {
            if (const auto adapter = AdapterRef::parse(item.at("name").get<std::string>())) {
                report.adapters.push_back({.adapter = *adapter,
                                           .loading = item.at("state").get<std::string>() == "loading",
                                           .running = item.value("running", 0)});
            }
        }
        return report;
    } catch (const nlohmann::json::exception &error) {
        return "engine state: " + std::string(error.what());
    }
}

HttpRequest stateRequest()
{
    HttpRequest request;
    request.target = "/v1/state";
    return request;
}

static HttpRequest makeOrder(const char *requestTarget, const nlohmann::json &body, const OrderStamp &stamp)
{
    HttpRequest request;
    request.method = "POST";
    request.target = requestTarget;
    request.headers.set("content-type", "application/json");
    request.headers.set("x-fencing-number", std::to_string(stamp.number.value()));
    request.headers.set("x-order-id", std::to_string(stamp.number.value()) + "-" + std::to_string(stamp.id));
    request.headers.set("x-order-deadline-ms", std::to_string(stamp.deadline.count()));
    request.body = body.dump();
    return request;
}

HttpRequest makeLoadOrder(const AdapterRef &adapter, const std::string &path, const OrderStamp &stamp)
{
    return makeOrder("/v1/load_lora_adapter", {{"lora_name", adapter.toString()}, {"lora_path", path}}, stamp);
}

HttpRequest makeUnloadOrder(const AdapterRef &adapter, const OrderStamp &stamp)
{
    return makeOrder("/v1/unload_lora_adapter", {{"lora_name", adapter.toString()}}, stamp);
}

} // namespace tamarackcove
