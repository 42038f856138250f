#pragma once

#include "tamarackcove/Http/HttpRequest.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Http/HttpServer.h"
#include "tamarackcove/Supervision/Supervisor.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace tamarackcove::test {

/// The heartbeat of a server on this port of 127.0.0.1 that sends only one.
inline nlohmann::json singleHeartbeat(const std::string &service, std::uint16_t port, nlohmann::json models)
{
    return {{"service", service}, {"addr", "127.0.0.1:" + std::to_string(port)},
            {"zone", "z"},        {"slots", 8},
            {"state", "ready"},   {"seq", 1},
            {"born", 1},          {"models", std::move(models)}};
}

/// The models of a server that holds no adapters.
inline nlohmann::json modelsWithoutAdapters()
{
    return {{{"name", "m"}, {"version", 1}, {"adapters", nlohmann::json::array()}}};
}

/// Stands in for a server of the platform: accepts orders, reports its state, and answers requests by the behaviour
/// that the test passes in. Thread safety: used on the thread of the executor.
class StandInServer
{
public:
    using Behaviour = std::function<boost::asio::awaitable<void>(const HttpRequest &, HttpResponder &)>;

    StandInServer(boost::asio::any_io_executor executor, std::string id, Behaviour behaviour)
        : m_id(std::move(id))
        , m_behaviour(std::move(behaviour))
        , m_connections(executor, m_id)
        , m_http(m_connections, {},
                 [this](const HttpRequest &request, HttpResponder &responder) { return answer(request, responder); })
    {
        if (m_http.listen({.host = "127.0.0.1", .port = 0}).has_error()) {
            throw std::runtime_error("the stand-in server cannot listen on 127.0.0.1");
        }
    }

    void start()
    {
        m_connections.start("accept", [this] { return m_http.run(); });
    }
    /// Makes the server unreachable: it refuses new connections and closes those that are idle.
    void close()
    {
        m_http.beginDrain();
    }
    boost::asio::awaitable<void> stop()
    {
        return m_connections.stop();
    }

    /// The next heartbeat of this server.
    [[nodiscard]] nlohmann::json heartbeat(const std::string &service)
    {
        return {{"service", service}, {"addr", address()},     {"zone", "z"}, {"slots", 8},
                {"state", "ready"},   {"seq", ++m_heartbeats}, {"born", 1},   {"models", models()}};
    }
    /// The state of this server.
    [[nodiscard]] nlohmann::json report() const
    {
        return {{"born", 1}, {"models", models()}, {"busy", false}, {"seq", m_orders}};
    }
    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_http.port());
    }
    [[nodiscard]] const std::string &id() const
    {
        return m_id;
    }

    /// Requests in the order of arrival, except orders and reads of the state.
    std::vector<HttpRequest> requests;
    /// Answers reads of the state, if set.
    Behaviour reportBehaviour;
    /// The adapters that the server holds.
    std::set<std::string> adapters;

private:
    [[nodiscard]] nlohmann::json models() const
    {
        auto held = nlohmann::json::array();
        for (const auto &adapter : adapters) {
            held.push_back(adapter + "@1");
        }
        return {{{"name", "m"}, {"version", 1}, {"adapters", held}}};
    }

    boost::asio::awaitable<void> answer(const HttpRequest &request, HttpResponder &responder)
    {
        if (request.path() == "/v1/report" && reportBehaviour) {
            co_await reportBehaviour(request, responder);
            co_return;
        }
        if (request.path() == "/v1/report") {
            (void)co_await responder.send(jsonResponse(200, report().dump()));
            co_return;
        }
        if (request.path() == "/v1/order") {
            const auto order = nlohmann::json::parse(request.body);
            const bool expected = order.at("expected") == m_orders;
            if (expected) {
                ++m_orders;
                adapters.insert(order.at("adapter").get<std::string>());
            }
            (void)co_await responder.send(jsonResponse(expected ? 202 : 409, "{}"));
            co_return;
        }
        requests.push_back(request);
        co_await m_behaviour(request, responder);
    }

    std::string m_id;
    Behaviour m_behaviour;
    Supervisor m_connections;
    HttpServer m_http;
    std::uint64_t m_heartbeats = 0;
    std::uint64_t m_orders = 0;
};

} // namespace tamarackcove::test
