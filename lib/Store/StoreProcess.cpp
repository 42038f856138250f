#include "tamarackcove/Store/StoreProcess.h"

#include "tamarackcove/Http/HttpRequest.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Http/HttpServer.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Settings/SettingsFile.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <random>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr std::string_view Schema = R"({
    "type": "object",
    "additionalProperties": false,
    "required": ["listen"],
    "properties": {
        "name": {"type": "string"},
        "listen": {"type": "string"},
        "loads_per_second": {"type": "number", "exclusiveMinimum": 0},
        "concurrent_loads": {"type": "integer", "minimum": 1},
        "full_speed_loads": {"type": "integer", "minimum": 1},
        "load_ms": {"type": "integer", "minimum": 0},
        "window_ms": {"type": "integer", "minimum": 1},
        "log_level": {"type": "string"}
    }
})";

static constexpr std::string_view FaultSchema = R"({
    "type": "object",
    "additionalProperties": false,
    "properties": {
        "fail_next": {"type": "integer", "minimum": 0},
        "fail_probability": {"type": "number", "minimum": 0, "maximum": 1},
        "slow_factor": {"type": "number", "exclusiveMinimum": 0}
    }
})";

Result<StoreSettings, SettingsError> loadStoreSettings(const std::string &path)
{
    BOOST_OUTCOME_TRY(const auto json, loadSettings(path, Schema));
    StoreSettings settings;
    BOOST_OUTCOME_TRY(settings.listen, endpointAt(json, "listen"));
    auto &limits = settings.limits;
    limits.loadsPerSecond = json.value("loads_per_second", limits.loadsPerSecond);
    limits.concurrentLoads = json.value("concurrent_loads", limits.concurrentLoads);
    limits.maxFullSpeedLoads = json.value("full_speed_loads", limits.maxFullSpeedLoads);
    limits.loadTime = millisecondsAt(json, "load_ms", limits.loadTime);
    limits.window = millisecondsAt(json, "window_ms", limits.window);
    return settings;
}

struct StoreProcess::Impl
{
    Impl(Supervisor &rootSupervisor, StoreSettings storeSettings)
        : root(rootSupervisor)
        , connections(root.executor(), "connections")
        , settings(std::move(storeSettings))
        , model(settings.limits)
        , server(connections, {},
                 [this](const HttpRequest &request, HttpResponder &responder) { return handle(request, responder); })
    {
    }

    asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder);
    asio::awaitable<void> serveWeights(HttpResponder &responder);
    [[nodiscard]] HttpResponse stats() const;
    [[nodiscard]] HttpResponse changeFaults(const std::string &body);
    [[nodiscard]] bool injectFailure();

    Supervisor &root;
    Supervisor connections;
    StoreSettings settings;
    StoreModel model;
    int failNextLoads = 0;
    double failProbability = 0;
    double slowFactor = 1;
    std::mt19937_64 random{1};
    HttpServer server;
};

bool StoreProcess::Impl::injectFailure()
{
    if (failNextLoads > 0) {
        --failNextLoads;
        return true;
    }
    return failProbability > 0 && std::uniform_real_distribution<double>(0, 1)(random) < failProbability;
}

asio::awaitable<void> StoreProcess::Impl::serveWeights(HttpResponder &responder)
{
    constexpr int Unavailable = 503;
    const auto loadDuration = duration_cast<Duration>(slowFactor * model.beginLoad(Clock::now()));
    const bool fails = injectFailure();
    Timer timer(root.executor(), loadDuration);
    co_await timer.async_wait(asio::use_awaitable);
    model.endLoad(fails);
    (void)co_await responder.send(jsonResponse(fails ? Unavailable : 200, "{}"));
}

HttpResponse StoreProcess::Impl::stats() const
{
    const auto &counts = model.counts();
    const nlohmann::json body = {{"loads", counts.loads},
                                 {"failed", counts.failed},
                                 {"in_flight", counts.inFlight},
                                 {"max_in_flight", counts.maxInFlight},
                                 {"max_in_window", counts.maxInWindow},
                                 {"rate_violations", counts.rateViolations},
                                 {"concurrency_violations", counts.concurrencyViolations}};
    return jsonResponse(200, body.dump());
}

HttpResponse StoreProcess::Impl::changeFaults(const std::string &body)
{
    constexpr int BadRequest = 400;
    const auto changes = checkSettings(body, FaultSchema);
    if (changes.has_error()) {
        return jsonResponse(BadRequest, nlohmann::json{{"error", {{"message", changes.error().detail}}}}.dump());
    }
    failNextLoads = changes.value().value("fail_next", failNextLoads);
    failProbability = changes.value().value("fail_probability", failProbability);
    slowFactor = changes.value().value("slow_factor", slowFactor);
    LogLine(LogLevel::Info, "faults_changed").add("changes", body);
    return jsonResponse(200, "{}");
}

asio::awaitable<void> StoreProcess::Impl::handle(const HttpRequest &request, HttpResponder &responder)
{
    constexpr int NotFound = 404;
    const auto path = request.path();
    if (path.starts_with("/adapters/") && request.method == "GET") {
        co_await serveWeights(responder);
        co_return;
    }
    auto reply = jsonResponse(NotFound, R"({"error":{"message":"not served"}})");
    if (path == "/stats") {
        reply = stats();
    } else if (path == "/faults" && request.method == "POST") {
        reply = changeFaults(request.body);
    }
    (void)co_await responder.send(std::move(reply));
}

StoreProcess::StoreProcess(Supervisor &root, StoreSettings settings)
    : m_impl(std::make_unique<Impl>(root, std::move(settings)))
{
}

StoreProcess::~StoreProcess() = default;

bool StoreProcess::start()
{
    auto &impl = *m_impl;
    const auto listening = impl.server.listen(impl.settings.listen);
    if (listening.has_error()) {
        LogLine(LogLevel::Error, "listen_failed").add("reason", listening.error().detail);
        return false;
    }
    LogLine(LogLevel::Info, "listening").add("port", static_cast<int>(impl.server.port()));
    impl.root.start("connections", [&impl] { return impl.server.run(); });
    LogLine(LogLevel::Info, "ready").add("port", static_cast<int>(impl.server.port()));
    return true;
}

asio::awaitable<void> StoreProcess::drain()
{
    return m_impl->connections.stop();
}

} // namespace tamarackcove
