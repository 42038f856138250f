#include "tamarackcove/Proxy/ProxyProcess.h"

#include "ProxyLink.h"
#include "tamarackcove/Http/HttpRequest.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Http/HttpServer.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Settings/SettingsFile.h"
#include "tamarackcove/Supervision/Supervisor.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr std::string_view Schema = R"({
    "type": "object",
    "additionalProperties": false,
    "required": ["control", "pairs"],
    "properties": {
        "name": {"type": "string"},
        "control": {"type": "string"},
        "log_level": {"type": "string"},
        "pairs": {
            "type": "array",
            "items": {
                "type": "object",
                "additionalProperties": false,
                "required": ["name", "listen", "target"],
                "properties": {
                    "name": {"type": "string", "minLength": 1},
                    "groups": {"type": "array", "items": {"type": "string"}},
                    "listen": {"type": "string"},
                    "target": {"type": "string"}
                }
            }
        }
    }
})";

static constexpr std::string_view FaultSchema = R"({
    "type": "object",
    "additionalProperties": false,
    "properties": {
        "pair": {"type": "string"},
        "group": {"type": "string"},
        "reset": {"type": "boolean"},
        "cut": {"type": "boolean"},
        "hold": {"enum": ["none", "to_target", "to_caller", "both"]},
        "silence": {"type": "boolean"},
        "delay_ms": {"type": "integer", "minimum": 0},
        "bandwidth": {"type": "integer", "minimum": 0}
    }
})";

Result<ProxySettings, SettingsError> loadProxySettings(const std::string &path)
{
    BOOST_OUTCOME_TRY(const auto json, loadSettings(path, Schema));
    ProxySettings settings;
    BOOST_OUTCOME_TRY(settings.control, endpointAt(json, "control"));
    for (const auto &entry : json.at("pairs")) {
        ProxyPair pair;
        pair.name = entry.at("name").get<std::string>();
        pair.groups = entry.value("groups", std::vector<std::string>());
        BOOST_OUTCOME_TRY(pair.listen, endpointAt(entry, "listen"));
        BOOST_OUTCOME_TRY(pair.target, endpointAt(entry, "target"));
        settings.pairs.push_back(std::move(pair));
    }
    return settings;
}

struct ProxyProcess::Impl
{
    Impl(Supervisor &rootSupervisor, ProxySettings proxySettings)
        : root(rootSupervisor)
        , connections(root.executor(), "connections")
        , settings(std::move(proxySettings))
        , server(connections, {},
                 [this](const HttpRequest &request, HttpResponder &responder) { return handle(request, responder); })
    {
        for (const auto &pair : settings.pairs) {
            links.push_back(std::make_unique<ProxyLink>(connections, pair));
        }
    }

    asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder);
    [[nodiscard]] HttpResponse changeFaults(const std::string &body);
    [[nodiscard]] HttpResponse listPairs() const;

    Supervisor &root;
    Supervisor connections;
    ProxySettings settings;
    std::vector<std::unique_ptr<ProxyLink>> links;
    HttpServer server;
};

static bool isSelected(const ProxyPair &pair, const nlohmann::json &changes)
{
    if (changes.contains("pair")) {
        return changes["pair"] == pair.name;
    }
    if (changes.contains("group")) {
        return std::find(pair.groups.begin(), pair.groups.end(), changes["group"]) != pair.groups.end();
    }
    return true;
}

static LinkFaults withChanges(const ProxyLink &link, const nlohmann::json &changes)
{
    auto faults = link.faults();
    if (changes.value("reset", false)) {
        // A reset does not end the silence of connections: their two ends cannot learn that the link works again.
        const auto lastSilencedConnection = faults.lastSilencedConnection;
        faults = LinkFaults();
        faults.lastSilencedConnection = lastSilencedConnection;
    }
    faults.linkDown = changes.value("cut", faults.linkDown);
    if (changes.contains("hold")) {
        const auto hold = changes["hold"].get<std::string>();
        faults.holdToTarget = hold == "to_target" || hold == "both";
        faults.holdToCaller = hold == "to_caller" || hold == "both";
    }
    if (changes.value("silence", false)) {
        faults.lastSilencedConnection = link.acceptedConnections();
    }
    faults.delay = millisecondsAt(changes, "delay_ms", faults.delay);
    faults.bandwidth = changes.value("bandwidth", faults.bandwidth);
    return faults;
}

HttpResponse ProxyProcess::Impl::changeFaults(const std::string &body)
{
    constexpr int BadRequest = 400;
    constexpr int NotFound = 404;
    const auto changes = checkSettings(body, FaultSchema);
    if (changes.has_error()) {
        return jsonResponse(BadRequest, nlohmann::json{{"error", {{"message", changes.error().detail}}}}.dump());
    }
    int count = 0;
    for (const auto &link : links) {
        if (isSelected(link->pair(), changes.value())) {
            link->setFaults(withChanges(*link, changes.value()));
            ++count;
        }
    }
    LogLine(LogLevel::Info, "faults_changed").add("pairs", count).add("changes", body);
    return jsonResponse(count > 0 ? 200 : NotFound, nlohmann::json{{"pairs", count}}.dump());
}

HttpResponse ProxyProcess::Impl::listPairs() const
{
    auto pairs = nlohmann::json::array();
    for (const auto &link : links) {
        pairs.push_back({{"name", link->pair().name},
                         {"port", link->port()},
                         {"accepted", link->acceptedConnections()},
                         {"open", link->openConnections()}});
    }
    return jsonResponse(200, nlohmann::json{{"pairs", pairs}}.dump());
}

asio::awaitable<void> ProxyProcess::Impl::handle(const HttpRequest &request, HttpResponder &responder)
{
    constexpr int NotFound = 404;
    auto reply = jsonResponse(NotFound, R"({"error":{"message":"not served"}})");
    if (request.path() == "/faults" && request.method == "POST") {
        reply = changeFaults(request.body);
    } else if (request.path() == "/pairs") {
        reply = listPairs();
    }
    (void)co_await responder.send(std::move(reply));
}

ProxyProcess::ProxyProcess(Supervisor &root, ProxySettings settings)
    : m_impl(std::make_unique<Impl>(root, std::move(settings)))
{
}

ProxyProcess::~ProxyProcess() = default;

bool ProxyProcess::start()
{
    auto &impl = *m_impl;
    const auto listening = impl.server.listen(impl.settings.control);
    if (listening.has_error()) {
        LogLine(LogLevel::Error, "listen_failed").add("reason", listening.error().detail);
        return false;
    }
    for (const auto &link : impl.links) {
        if (!link->listen()) {
            return false;
        }
    }
    LogLine(LogLevel::Info, "listening").add("port", static_cast<int>(impl.server.port()));
    impl.root.start("control", [&impl] { return impl.server.run(); });
    for (const auto &link : impl.links) {
        impl.root.start("pair-" + link->pair().name, [&target = *link] { return target.run(); });
    }
    LogLine(LogLevel::Info, "ready").add("pairs", static_cast<int>(impl.links.size()));
    return true;
}

asio::awaitable<void> ProxyProcess::drain()
{
    return m_impl->connections.stop();
}

} // namespace tamarackcove
