#include "BenchEngines.h"

#include "tamarackcove/ControlBench/LeaderBench.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Http/HttpServer.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace asio = boost::asio;
using nlohmann::json;

namespace tamarackcove {

static const ServiceName Service("engines");
static const BaseModel Model("base");
static constexpr int Slots = 24;

struct BenchEngines::Engine
{
    Engine(Supervisor &connections, int number, std::uint64_t &allOrders)
        : id(fmt::format("i-{:010x}", number))
        , http(connections, {}, [this, &allOrders](const HttpRequest &request, HttpResponder &responder) {
            return answer(request, responder, allOrders);
        })
    {
        if (http.listen({.host = "127.0.0.1", .port = 0}).has_error()) {
            throw std::runtime_error("an engine of the measurement cannot listen on 127.0.0.1");
        }
    }

    asio::awaitable<void> answer(const HttpRequest &request, HttpResponder &responder, std::uint64_t &allOrders)
    {
        if (request.method == "POST") {
            ++orders;
            ++allOrders;
            const bool load = request.body.find("\"load\"") != std::string::npos;
            // An unload is complete at once, like that of an adapter that no request uses.
            auto response = jsonResponse(load ? 202 : 200, "{}");
            (void)co_await responder.send(std::move(response));
            co_return;
        }
        const json state{{"seq", orders}};
        auto response = jsonResponse(200, state.dump());
        (void)co_await responder.send(std::move(response));
    }

    std::string id;
    HttpServer http;
    std::uint64_t orders = 0;
};

BenchEngines::BenchEngines(const asio::any_io_executor &executor, const LeaderBenchOptions &options)
    : m_connections(executor, "engines")
{
    for (int i = 0; i < options.servers; ++i) {
        m_engines.push_back(std::make_unique<Engine>(m_connections, i, m_orders));
        auto &http = m_engines.back()->http;
        m_connections.start("engine-" + std::to_string(i), [&http] { return http.run(); });
    }
}

BenchEngines::~BenchEngines() = default;

DeploymentConfiguration BenchEngines::configuration(const LeaderBenchOptions &options)
{
    EngineProfile engine;
    engine.slots = Slots;
    engine.adapterSlots = options.adapterSlotsPerServer;
    engine.weightsMb = 67000;
    engine.storeLoadsPerSecond = 26;
    engine.models.push_back({.name = Model, .weightsMb = 65000, .adapterMb = 12});
    DeploymentConfiguration configuration;
    configuration.version = 1;
    configuration.services.push_back({.name = Service, .healthPath = "/", .maxConnections = 560, .engine = engine});
    return configuration;
}

EngineDialect BenchEngines::dialect()
{
    EngineDialect dialect;
    dialect.orderRequest = [](const ServerOrder &order) {
        HttpRequest request;
        request.method = "POST";
        request.target = "/v1/order";
        request.headers.set("Content-Type", "application/json");
        request.body = json{{"op", order.action == ServerOrder::Action::Load ? "load" : "unload"},
                            {"model", order.weights.model.value()},
                            {"adapter", order.weights.adapter},
                            {"expected", order.expectedAcceptedOrders},
                            {"holder", order.holder},
                            {"fence", order.fence.value()}}
                           .dump();
        return request;
    };
    dialect.orderOutcome = [](const ServerOrder &, const HttpResponse &response) {
        return response.status == 202 ? OrderOutcome::Accepted
            : response.status == 200  ? OrderOutcome::Done
                                      : OrderOutcome::Unknown;
    };
    dialect.stateRequest = [](const ServerIdentity &) {
        HttpRequest request;
        request.target = "/v1/report";
        return request;
    };
    dialect.readReport = [](const HttpResponse &response) -> std::optional<ServerReport> {
        ServerReport report;
        report.startedAt = Incarnation(1);
        report.models = {{.name = Model, .version = 1, .adapters = {}}};
        report.ordersAccepted = json::parse(response.body).at("seq").get<std::uint64_t>();
        return report;
    };
    dialect.saysLeaving = [](const HttpResponse &) {
        return false;
    };
    dialect.retryAfter = [](const HttpResponse &) {
        return std::optional<milliseconds>();
    };
    return dialect;
}

std::vector<ServerHeartbeat> BenchEngines::heartbeats() const
{
    std::vector<ServerHeartbeat> all;
    for (const auto &engine : m_engines) {
        ServerHeartbeat heartbeat;
        heartbeat.identity = {.id = TargetId(engine->id), .startedAt = Incarnation(1)};
        heartbeat.service = Service;
        heartbeat.endpoint = {.host = "127.0.0.1", .port = engine->http.port()};
        heartbeat.zone = Zone("z" + std::to_string(all.size() % 4));
        heartbeat.slots = Slots;
        heartbeat.models = {{.name = Model, .version = 1, .adapters = {}}};
        all.push_back(std::move(heartbeat));
    }
    return all;
}

std::uint64_t BenchEngines::orders() const
{
    return m_orders;
}

asio::awaitable<void> BenchEngines::stop()
{
    return m_connections.stop();
}

} // namespace tamarackcove
