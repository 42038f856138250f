#include "tamarackcove/Control/Fleet/FleetCodec.h"

#include "tamarackcove/Wire/BoundedJson.h"

#include <nlohmann/json.hpp>

using nlohmann::json;

namespace tamarackcove {

static std::string pack(const json &value)
{
    std::string bytes;
    json::to_msgpack(value, bytes);
    return bytes;
}

static json unpack(std::string_view bytes)
{
    return parseMessagePack({reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size()});
}

static json identityJson(const ServerIdentity &server)
{
    return json::array({server.id.value(), server.startedAt.value()});
}

static ServerIdentity identityFrom(const json &value)
{
    return {.id = TargetId(value.at(0).get<std::string>()), .startedAt = Incarnation(value.at(1).get<std::uint64_t>())};
}

/// Encodes the properties of a server that stay the same between heartbeats: its identity, service, address, zone,
/// slots and the names of its models.
static json serverJson(const ServerHeartbeat &server)
{
    auto models = json::array();
    for (const auto &model : server.models) {
        models.push_back(model.name.value());
    }
    return {{"identity", identityJson(server.identity)},
            {"service", server.service.value()},
            {"endpoint", server.endpoint.toString()},
            {"zone", server.zone.value()},
            {"slots", server.slots},
            {"models", std::move(models)}};
}

static ServerHeartbeat serverFrom(const json &value)
{
    ServerHeartbeat server;
    server.identity = identityFrom(value.at("identity"));
    server.service = ServiceName(value.at("service").get<std::string>());
    server.endpoint = Endpoint::parse(value.at("endpoint").get<std::string>()).value_or(Endpoint{});
    server.zone = Zone(value.at("zone").get<std::string>());
    server.slots = value.at("slots").get<int>();
    for (const auto &model : value.at("models")) {
        server.models.push_back({.name = BaseModel(model.get<std::string>()), .version = 0, .adapters = {}});
    }
    return server;
}

std::string encodeFleetCommand(const FleetCommand &command)
{
    if (const auto *put = std::get_if<PutConfiguration>(&command)) {
        return pack({{"t", "configuration"}, {"version", put->version}, {"document", put->document}});
    }
    if (const auto *weights = std::get_if<PutWeightVersion>(&command)) {
        return pack({{"t", "weights"},
                     {"model", weights->key.model.value()},
                     {"adapter", weights->key.adapter},
                     {"version", weights->version}});
    }
    if (const auto *departure = std::get_if<NoteDeparture>(&command)) {
        return pack({{"t", "departure"},
                     {"server", identityJson(departure->server)},
                     {"service", departure->service.value()},
                     {"gone", departure->gone},
                     {"start_known", departure->startKnown}});
    }
    if (const auto *noted = std::get_if<NoteServer>(&command)) {
        return pack({{"t", "server"}, {"server", serverJson(noted->server)}, {"known", noted->registered}});
    }
    if (const auto *quarantine = std::get_if<QuarantineSuspect>(&command)) {
        return pack({{"t", "quarantine"}, {"part", quarantine->suspect.value()}});
    }
    if (const auto *release = std::get_if<ReleaseSuspect>(&command)) {
        return pack({{"t", "release"}, {"part", release->suspect.value()}, {"probation", release->onProbation}});
    }
    const auto &duty = std::get<TakeOrderDuty>(command);
    return pack({{"t", "duty"}, {"holder", duty.holder}, {"boot", duty.boot}});
}

static FleetCommand commandFrom(const json &value)
{
    const auto type = value.at("t").get<std::string>();
    if (type == "configuration") {
        return PutConfiguration{.version = value.at("version").get<std::uint64_t>(),
                                .document = value.at("document").get<std::string>()};
    }
    if (type == "weights") {
        return PutWeightVersion{.key = {.model = BaseModel(value.at("model").get<std::string>()),
                                        .adapter = value.at("adapter").get<std::string>()},
                                .version = value.at("version").get<std::uint64_t>()};
    }
    if (type == "departure") {
        return NoteDeparture{.server = identityFrom(value.at("server")),
                             .service = ServiceName(value.at("service").get<std::string>()),
                             .gone = value.at("gone").get<bool>(),
                             // A command of an earlier release does not say so.
                             .startKnown = value.value("start_known", true)};
    }
    if (type == "server") {
        return NoteServer{.server = serverFrom(value.at("server")), .registered = value.at("known").get<bool>()};
    }
    if (type == "quarantine") {
        return QuarantineSuspect{.suspect = CrashSuspect(value.at("part").get<std::string>())};
    }
    if (type == "release") {
        return ReleaseSuspect{.suspect = CrashSuspect(value.at("part").get<std::string>()),
                              .onProbation = value.at("probation").get<bool>()};
    }
    return TakeOrderDuty{.holder = value.at("holder").get<std::string>(), .boot = value.at("boot").get<std::string>()};
}

Result<FleetCommand, WireError> decodeFleetCommand(std::string_view bytes)
{
    try {
        return commandFrom(unpack(bytes));
    } catch (const json::exception &error) {
        return WireError{WireErrorCode::BadFrame, std::string("fleet command: ") + error.what()};
    }
}

static json suspectsJson(const FleetState::SuspectTimes &suspects)
{
    auto items = json::array();
    for (const auto &[suspect, time] : suspects) {
        const auto at = std::chrono::duration_cast<milliseconds>(time.time_since_epoch());
        items.push_back(json::array({suspect.value(), at.count()}));
    }
    return items;
}

static FleetState::SuspectTimes suspectsFrom(const json &items)
{
    FleetState::SuspectTimes suspects;
    for (const auto &item : items) {
        suspects[CrashSuspect(item.at(0).get<std::string>())]
            = std::chrono::system_clock::time_point(milliseconds(item.at(1).get<std::int64_t>()));
    }
    return suspects;
}

std::string encodeFleetImage(const FleetState::Image &image)
{
    auto versions = json::array();
    for (const auto &[key, version] : image.weightVersions) {
        versions.push_back(json::array({key.model.value(), key.adapter, version}));
    }
    auto departures = json::array();
    for (const auto &[server, departure] : image.departures) {
        const auto at = std::chrono::duration_cast<milliseconds>(departure.at.time_since_epoch());
        departures.push_back(json::array(
            {identityJson(server), departure.service.value(), departure.gone, at.count(), departure.anyStart}));
    }
    auto formerServers = json::array();
    for (const auto &[id, former] : image.formerServers) {
        const auto at = std::chrono::duration_cast<milliseconds>(former.at.time_since_epoch());
        formerServers.push_back(json::array({identityJson({.id = id, .startedAt = former.lastStart}), at.count()}));
    }
    auto servers = json::array();
    for (const auto &[id, server] : image.servers) {
        servers.push_back(serverJson(server));
    }
    return pack({{"servers", std::move(servers)},
                 {"former_servers", std::move(formerServers)},
                 {"quarantined", suspectsJson(image.quarantinedSuspects)},
                 {"probation", suspectsJson(image.suspectsOnProbation)},
                 {"revision", image.revision.value()},
                 {"version", image.configurationVersion},
                 {"document", image.document ? json(*image.document) : json(nullptr)},
                 {"weights", std::move(versions)},
                 {"departures", std::move(departures)},
                 {"holder", image.duty.holder},
                 {"boot", image.duty.boot},
                 {"fence", image.duty.fence.value()}});
}

static FleetState::Image imageFrom(const json &value)
{
    FleetState::Image image;
    image.revision = Revision(value.at("revision").get<std::uint64_t>());
    image.configurationVersion = value.at("version").get<std::uint64_t>();
    if (!value.at("document").is_null()) {
        image.document = std::make_shared<const std::string>(value.at("document").get<std::string>());
    }
    for (const auto &item : value.at("weights")) {
        image.weightVersions[{BaseModel(item.at(0).get<std::string>()), item.at(1).get<std::string>()}]
            = item.at(2).get<std::uint64_t>();
    }
    for (const auto &item : value.at("departures")) {
        image.departures[identityFrom(item.at(0))]
            = {.service = ServiceName(item.at(1).get<std::string>()),
               .gone = item.at(2).get<bool>(),
               .at = std::chrono::system_clock::time_point(milliseconds(item.at(3).get<std::int64_t>())),
               // A snapshot of an earlier release has four fields.
               .anyStart = item.size() > 4 && item.at(4).get<bool>()};
    }
    // A snapshot of an earlier release has no such list.
    for (const auto &item : value.value("former_servers", json::array())) {
        const auto server = identityFrom(item.at(0));
        image.formerServers[server.id]
            = {.lastStart = server.startedAt,
               .at = std::chrono::system_clock::time_point(milliseconds(item.at(1).get<std::int64_t>()))};
    }
    for (const auto &item : value.at("servers")) {
        auto server = serverFrom(item);
        const auto id = server.identity.id;
        image.servers[id] = std::move(server);
    }
    // A snapshot of an earlier release has neither list.
    image.quarantinedSuspects = suspectsFrom(value.value("quarantined", json::array()));
    image.suspectsOnProbation = suspectsFrom(value.value("probation", json::array()));
    image.duty = {.holder = value.at("holder").get<std::string>(),
                  .boot = value.at("boot").get<std::string>(),
                  .fence = FencingNumber(value.at("fence").get<std::uint64_t>())};
    return image;
}

Result<FleetState::Image, WireError> decodeFleetImage(std::string_view bytes)
{
    try {
        return imageFrom(unpack(bytes));
    } catch (const json::exception &error) {
        return WireError{WireErrorCode::BadFrame, std::string("fleet snapshot: ") + error.what()};
    }
}

} // namespace tamarackcove
