#pragma once

#include "../Supervision/RunThenStop.h"
#include "tamarackcove/Entry/ZoneMember.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Http/HttpServer.h"
#include "tamarackcove/Requests/PinTable.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Supervision/Timer.h"
#include "tamarackcove/Targets/ZoneView.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace tamarackcove {

/// An engine that implements only the interfaces that the zone coordinator uses: announcements, state, load and unload.
class StubEngine
{
public:
    StubEngine(Supervisor &supervisor, std::string id, int slots)
        : m_id(std::move(id))
        , m_slots(slots)
        , m_connections(supervisor.executor(), m_id)
        , m_server(m_connections, {},
                   [this](const HttpRequest &request, HttpResponder &responder) { return handle(request, responder); })
    {
        (void)m_server.listen({.host = "127.0.0.1", .port = 0});
        supervisor.start(m_id, [this] { return m_server.run(); });
    }

    [[nodiscard]] HttpRequest announcement(bool leaving = false) const
    {
        const nlohmann::json body
            = {{"id", m_id},          {"incarnation", 1},        {"zone", "a"},          {"kind", "engine"},
               {"host", "127.0.0.1"}, {"port", m_server.port()}, {"base_model", "base"}, {"adapter_slots", m_slots},
               {"max_batch", 8},      {"fencing", "refuses"},    {"leaving", leaving},   {"running", 1},
               {"waiting", 0},        {"adapters", adapters}};
        HttpRequest request;
        request.method = "POST";
        request.target = "/v1/targets/announce";
        request.body = body.dump();
        return request;
    }

    std::set<std::string> adapters;
    int loads = 0;
    int unloads = 0;
    /// The fencing number of the last load or unload order.
    std::uint64_t fencing = 0;
    /// How many of the next load orders to answer with status 502.
    int failures = 0;
    std::function<void()> onUnload;

private:
    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder)
    {
        if (request.target == "/v1/state") {
            nlohmann::json held = nlohmann::json::array();
            for (const auto &adapter : adapters) {
                held.push_back({{"name", adapter}, {"state", "resident"}, {"running", 0}});
            }
            const nlohmann::json state
                = {{"id", m_id}, {"incarnation", 1}, {"fencing_number", fencing}, {"adapters", held}};
            (void)co_await responder.send(jsonResponse(200, state.dump()));
            co_return;
        }
        const auto adapter = nlohmann::json::parse(request.body).at("lora_name").get<std::string>();
        if (adapter == "tamarackcove-fence@0") {
            (void)co_await responder.send(jsonResponse(404, "{}"));
            co_return;
        }
        fencing = std::stoull(std::string(*request.headers.find("x-fencing-number")));
        if (request.target == "/v1/load_lora_adapter") {
            ++loads;
            if (failures > 0) {
                --failures;
                (void)co_await responder.send(jsonResponse(502, "{}"));
                co_return;
            }
            adapters.insert(adapter);
        } else {
            ++unloads;
            if (onUnload) {
                onUnload();
            }
            adapters.erase(adapter);
        }
        (void)co_await responder.send(jsonResponse(200, "{}"));
    }

    std::string m_id;
    int m_slots;
    Supervisor m_connections;
    HttpServer m_server;
};

/// One entry of a zone. Instead of a request path, the test pins adapters and reports demand.
struct ZoneEntry
{
    explicit ZoneEntry(ZoneOptions options, ZoneHooks hooks = {})
        : zone(std::move(options), std::move(hooks), pins)
        , access(zone.access())
    {
    }

    PinTable pins;
    ZoneMember zone;
    ZoneAccess access;
};

/// An io_context and the supervisor of the tasks of one test. The objects that the tasks use are created outside of the
/// test body, so that they exist until the tasks have ended.
struct ZoneTest
{
    /// Runs the test body and then stops the children of `root`, also if the body throws. Rethrows the exception of the
    /// body.
    void run(const std::function<boost::asio::awaitable<void>()> &body)
    {
        test::runThenStop(io, body, [this]() -> boost::asio::awaitable<void> {
            co_await root.stop();
            // The connections of the engines are not children of `root`.
            io.stop();
        });
    }

    boost::asio::io_context io;
    Supervisor root{io.get_executor(), "test"};
};

/// Waits until the condition holds. Returns false when it does not hold within the given time.
inline boost::asio::awaitable<bool> eventually(std::function<bool()> condition, milliseconds within = seconds(5))
{
    const auto end = Clock::now() + within;
    Timer timer(co_await boost::asio::this_coro::executor);
    while (!condition()) {
        if (Clock::now() >= end) {
            co_return false;
        }
        timer.expires_after(milliseconds(5));
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
    co_return true;
}

/// Returns ports on which nothing listens now. The settings of each entry must name the ports of the other entries
/// before those entries listen.
inline std::vector<std::uint16_t> freePorts(std::size_t count)
{
    boost::asio::io_context io;
    std::vector<boost::asio::ip::tcp::acceptor> held;
    std::vector<std::uint16_t> ports;
    for (std::size_t i = 0; i < count; ++i) {
        held.emplace_back(io, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        ports.push_back(held.back().local_endpoint().port());
    }
    return ports;
}

} // namespace tamarackcove
