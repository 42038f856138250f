#include "tamarackcove/Control/State/IntentJson.h"

#include <fmt/format.h>
#include <set>

namespace tamarackcove {

using nlohmann::json;

static ConfigurationError invalid(std::string detail)
{
    return ConfigurationError{ConfigurationErrorCode::InvalidIntent, std::move(detail)};
}

static void rejectUnknownFields(const json &object, const std::set<std::string> &knownFields, const std::string &prefix)
{
    for (const auto &[key, value] : object.items()) {
        if (!knownFields.contains(key)) {
            throw std::invalid_argument(fmt::format("unknown field {}{}", prefix, key));
        }
    }
}

template<typename T>
static T field(const json &object, const char *key, T defaultValue)
{
    const auto found = object.find(key);
    if (found == object.end()) {
        return defaultValue;
    }
    try {
        return found->template get<T>();
    } catch (const json::exception &) {
        throw std::invalid_argument(std::string("field ") + key + " has the wrong type");
    }
}

static IntentAdapter adapterFromJson(const json &body)
{
    if (!body.is_object()) {
        throw std::invalid_argument("an element of adapters is not an object");
    }
    rejectUnknownFields(body, {"name", "version", "base_model", "current"}, "adapters.");
    return {.adapter = AdapterRef(field<std::string>(body, "name", ""), field<std::string>(body, "version", "")),
            .baseModel = BaseModel(field<std::string>(body, "base_model", "")),
            .current = field<bool>(body, "current", false)};
}

static ServiceRoute routeFromJson(const json &body)
{
    rejectUnknownFields(body, {"repeatable", "timeout_ms", "share_percent"}, "route.");
    ServiceRoute route;
    route.repeatable = field<bool>(body, "repeatable", route.repeatable);
    route.timeout = milliseconds(field<std::int64_t>(body, "timeout_ms", route.timeout.count()));
    route.sharePercent = field<int>(body, "share_percent", route.sharePercent);
    if (route.timeout <= milliseconds(0) || route.sharePercent < 1 || route.sharePercent > 100) {
        throw std::invalid_argument("route needs timeout_ms above 0 and share_percent from 1 to 100");
    }
    return route;
}

static StoreLimits storeFromJson(const json &body)
{
    rejectUnknownFields(body, {"loads_per_second", "concurrent_loads"}, "store.");
    StoreLimits store;
    store.loadsPerSecond = field<double>(body, "loads_per_second", store.loadsPerSecond);
    store.concurrentLoads = field<int>(body, "concurrent_loads", store.concurrentLoads);
    if (!(store.loadsPerSecond > 0) || store.concurrentLoads < 1) {
        throw std::invalid_argument("store needs loads_per_second above 0 and concurrent_loads of at least 1");
    }
    return store;
}

static PolicyWeights weightsFromJson(const json &body)
{
    rejectUnknownFields(body, {"load_stall", "batch_efficiency"}, "weights.");
    PolicyWeights weights;
    weights.loadStall = field<double>(body, "load_stall", weights.loadStall);
    weights.batchEfficiency = field<double>(body, "batch_efficiency", weights.batchEfficiency);
    if (!(weights.loadStall >= 0) || !(weights.batchEfficiency >= 0)) {
        throw std::invalid_argument("weights must not be negative");
    }
    return weights;
}

Result<Intent, ConfigurationError> intentFromJson(const json &body)
{
    if (!body.is_object()) {
        return invalid("the intent is not a json object");
    }
    Intent intent;
    try {
        rejectUnknownFields(body,
                            {"command_id", "name", "service", "priority", "adapters", "route", "store", "weights"}, "");
        intent.name = IntentName(field<std::string>(body, "name", ""));
        intent.service = ServiceName(field<std::string>(body, "service", ""));
        const auto priorityText = field<std::string>(body, "priority", "normal");
        const auto priority = parsePriority(priorityText);
        if (!priority) {
            return invalid("priority " + priorityText + " is not high, normal or low");
        }
        intent.priority = *priority;
        for (const auto &entry : field<json>(body, "adapters", json::array())) {
            intent.adapters.push_back(adapterFromJson(entry));
        }
        if (body.contains("route")) {
            intent.route = routeFromJson(body.at("route"));
        }
        if (body.contains("store")) {
            intent.store = storeFromJson(body.at("store"));
        }
        if (body.contains("weights")) {
            intent.weights = weightsFromJson(body.at("weights"));
        }
    } catch (const std::exception &error) {
        return invalid(error.what());
    }
    intent.normalise();
    return intent;
}

static json routeToJson(const ServiceRoute &route)
{
    return {
        {"repeatable", route.repeatable}, {"timeout_ms", route.timeout.count()}, {"share_percent", route.sharePercent}};
}

static json storeToJson(const StoreLimits &store)
{
    return {{"loads_per_second", store.loadsPerSecond}, {"concurrent_loads", store.concurrentLoads}};
}

static json weightsToJson(const PolicyWeights &weights)
{
    return {{"load_stall", weights.loadStall}, {"batch_efficiency", weights.batchEfficiency}};
}

json intentToJson(const Intent &intent)
{
    json adapters = json::array();
    for (const auto &entry : intent.adapters) {
        adapters.push_back({{"name", entry.adapter.name()},
                            {"version", entry.adapter.version()},
                            {"base_model", entry.baseModel.value()},
                            {"current", entry.current}});
    }
    json body = {{"name", intent.name.value()},
                 {"service", intent.service.value()},
                 {"priority", toString(intent.priority)},
                 {"adapters", std::move(adapters)}};
    if (intent.route) {
        body["route"] = routeToJson(*intent.route);
    }
    if (intent.store) {
        body["store"] = storeToJson(*intent.store);
    }
    if (intent.weights) {
        body["weights"] = weightsToJson(*intent.weights);
    }
    return body;
}

json planToJson(const Plan &plan, std::size_t maxListed)
{
    json added = json::array();
    json changed = json::array();
    json removed = json::array();
    json current = json::array();
    const std::set<AdapterRef> addedAdapters(plan.added.begin(), plan.added.end());
    for (const auto &[adapter, record] : plan.changes.put) {
        auto &list = addedAdapters.contains(adapter) ? added : changed;
        if (list.size() < maxListed) {
            list.push_back({{"adapter", adapter.toString()},
                            {"base_model", record.baseModel.value()},
                            {"service", record.service.value()},
                            {"priority", toString(record.priority)},
                            {"current", record.current}});
        }
    }
    for (const auto &adapter : plan.changes.removed) {
        if (removed.size() < maxListed) {
            removed.push_back(adapter.toString());
        }
    }
    for (const auto &change : plan.currentVersionChanges) {
        if (current.size() < maxListed) {
            current.push_back({{"name", change.name}, {"from", change.from}, {"to", change.to}});
        }
    }
    json body = {{"plan", plan.id.value()},
                 {"intent", plan.intent->name.value()},
                 {"base_revision", plan.base.value()},
                 {"empty", plan.empty()},
                 {"counts",
                  {{"added", plan.added.size()},
                   {"changed", plan.changes.put.size() - plan.added.size()},
                   {"removed", plan.changes.removed.size()},
                   {"made_current", plan.currentVersionChanges.size()}}},
                 {"added", std::move(added)},
                 {"changed", std::move(changed)},
                 {"removed", std::move(removed)},
                 {"made_current", std::move(current)}};
    for (const auto &[name, route] : plan.changes.services) {
        body["services"][name.value()] = routeToJson(route);
    }
    for (const auto &name : plan.changes.removedServices) {
        body["removed_services"].push_back(name.value());
    }
    if (plan.changes.store) {
        body["store"] = storeToJson(*plan.changes.store);
    }
    if (plan.changes.weights) {
        body["weights"] = weightsToJson(*plan.changes.weights);
    }
    return body;
}

} // namespace tamarackcove
