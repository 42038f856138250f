#include "tamarackcove/Wire/DeltaCodec.h"

#include "tamarackcove/Base/Time.h"

#include <algorithm>

namespace tamarackcove {

/// The index of a name in the list; a new name is appended.
static std::size_t findOrAddIndex(nlohmann::json &names, const std::string &name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    if (found != names.end()) {
        return static_cast<std::size_t>(found - names.begin());
    }
    names.push_back(name);
    return names.size() - 1;
}

static nlohmann::json encodeRoute(const ServiceRoute &route)
{
    return nlohmann::json::array({route.repeatable, route.timeout.count(), route.sharePercent});
}

static ServiceRoute decodeRoute(const nlohmann::json &route)
{
    return {.repeatable = route.at(0).get<bool>(),
            .timeout = milliseconds(route.at(1).get<std::int64_t>()),
            .sharePercent = route.at(2).get<int>()};
}

nlohmann::json encodeDelta(const ConfigurationDelta &delta)
{
    nlohmann::json body = {{"from", delta.from.value()}, {"to", delta.to.value()}};
    if (delta.full) {
        body["full"] = true;
    }
    if (!delta.put.empty()) {
        auto baseModels = nlohmann::json::array();
        auto services = nlohmann::json::array();
        auto rows = nlohmann::json::array();
        for (const auto &[adapter, record] : delta.put) {
            rows.push_back({adapter.name(), adapter.version(), findOrAddIndex(baseModels, record.baseModel.value()),
                            findOrAddIndex(services, record.service.value()), static_cast<int>(record.priority),
                            record.current ? 1 : 0});
        }
        body["base_models"] = std::move(baseModels);
        body["service_names"] = std::move(services);
        body["put"] = std::move(rows);
    }
    for (const auto &adapter : delta.removed) {
        body["removed"].push_back({adapter.name(), adapter.version()});
    }
    for (const auto &[name, route] : delta.services) {
        body["services"][name.value()] = encodeRoute(route);
    }
    for (const auto &name : delta.removedServices) {
        body["removed_services"].push_back(name.value());
    }
    if (!delta.quarantined.empty()) {
        body["quarantined"] = delta.quarantined;
    }
    if (!delta.released.empty()) {
        body["released"] = delta.released;
    }
    if (delta.store) {
        body["store"] = {delta.store->loadsPerSecond, delta.store->concurrentLoads};
    }
    if (delta.weights) {
        body["weights"] = {delta.weights->loadStall, delta.weights->batchEfficiency};
    }
    return body;
}

static void decodePut(const nlohmann::json &body, ConfigurationDelta &delta)
{
    const auto baseModels = body.at("base_models").get<std::vector<std::string>>();
    const auto services = body.at("service_names").get<std::vector<std::string>>();
    for (const auto &row : body.at("put")) {
        const auto priority = std::clamp(row.at(4).get<int>(), 0, static_cast<int>(Priority::High));
        const AdapterRecord record{.baseModel = BaseModel(baseModels.at(row.at(2).get<std::size_t>())),
                                   .service = ServiceName(services.at(row.at(3).get<std::size_t>())),
                                   .priority = static_cast<Priority>(priority),
                                   .current = row.at(5).get<int>() != 0};
        delta.put.push_back(
            {.adapter = AdapterRef(row.at(0).get<std::string>(), row.at(1).get<std::string>()), .record = record});
    }
}

Result<ConfigurationDelta, WireError> decodeDelta(const nlohmann::json &body)
{
    ConfigurationDelta delta;
    try {
        delta.from = Revision(body.at("from").get<std::uint64_t>());
        delta.to = Revision(body.at("to").get<std::uint64_t>());
        delta.full = body.value("full", false);
        if (body.contains("put")) {
            decodePut(body, delta);
        }
        for (const auto &row : body.value("removed", nlohmann::json::array())) {
            delta.removed.emplace_back(row.at(0).get<std::string>(), row.at(1).get<std::string>());
        }
        if (body.contains("services")) {
            for (const auto &[name, route] : body.at("services").items()) {
                delta.services[ServiceName(name)] = decodeRoute(route);
            }
        }
        for (const auto &name : body.value("removed_services", nlohmann::json::array())) {
            delta.removedServices.emplace(name.get<std::string>());
        }
        delta.quarantined = body.value("quarantined", std::vector<std::uint64_t>());
        delta.released = body.value("released", std::vector<std::uint64_t>());
        if (body.contains("store")) {
            delta.store = StoreLimits{.loadsPerSecond = body.at("store").at(0).get<double>(),
                                      .concurrentLoads = body.at("store").at(1).get<int>()};
        }
        if (body.contains("weights")) {
            delta.weights = PolicyWeights{.loadStall = body.at("weights").at(0).get<double>(),
                                          .batchEfficiency = body.at("weights").at(1).get<double>()};
        }
    } catch (const std::exception &error) {
        return WireError{WireErrorCode::BadFrame, std::string("configuration delta: ") + error.what()};
    }
    return delta;
}

// An upper bound of the encoded size of one adapter: two strings with their length fields, and four small numbers.
static std::size_t maxEncodedBytes(const AdapterRef &adapter)
{
    constexpr std::size_t Overhead = 20;
    return adapter.name().size() + adapter.version().size() + Overhead;
}

static ConfigurationDelta emptyPart(const ConfigurationDelta &firstPart)
{
    ConfigurationDelta part;
    part.from = firstPart.to;
    part.to = firstPart.to;
    return part;
}

std::vector<ConfigurationDelta> splitDelta(ConfigurationDelta delta, std::size_t maxBytes)
{
    std::vector<ConfigurationDelta> parts;
    auto removed = std::exchange(delta.removed, {});
    auto put = std::exchange(delta.put, {});
    parts.push_back(std::move(delta));
    std::size_t bytes = 0;
    const auto startPartIfFull = [&](const AdapterRef &adapter) {
        const auto added = maxEncodedBytes(adapter);
        if (bytes + added > maxBytes) {
            parts.push_back(emptyPart(parts.front()));
            bytes = 0;
        }
        bytes += added;
    };
    for (auto &adapter : removed) {
        startPartIfFull(adapter);
        parts.back().removed.push_back(std::move(adapter));
    }
    for (auto &entry : put) {
        startPartIfFull(entry.adapter);
        parts.back().put.push_back(std::move(entry));
    }
    return parts;
}

} // namespace tamarackcove
