#include "tamarackcove/Entry/Control/ControlLink.h"

#include "../Supervision/RunThenStop.h"
#include "tamarackcove/Control/ControlNode.h"
#include "tamarackcove/Http/HttpConnection.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace asio = boost::asio;
using nlohmann::json;
using namespace tamarackcove;

namespace {

/// A control group of one host, and the supervisor of the entries that connect to it.
struct System
{
    System()
        : folder(std::filesystem::temp_directory_path() / ("control-link-test-" + std::to_string(::getpid())))
    {
        std::filesystem::remove_all(folder);
        ControlSettings settings;
        settings.name = "c1";
        settings.listen = {"127.0.0.1", 0};
        settings.entryListen = {"127.0.0.1", 0};
        settings.dataFolder = folder;
        settings.zones = {Zone("a"), Zone("b")};
        node = std::make_unique<ControlNode>(io.get_executor(), settings, ControlNode::Hooks{});
        REQUIRE(node->open().has_value());
        node->start();
    }
    ~System()
    {
        std::filesystem::remove_all(folder);
    }

    [[nodiscard]] ControlOptions options(const std::string &name) const
    {
        ControlOptions options;
        options.self = EntryId(name);
        options.zone = Zone("a");
        options.hosts = {node->entryEndpoint()};
        return options;
    }

    asio::awaitable<json> post(std::string path, json body, int status = 200)
    {
        HttpRequest request;
        request.method = "POST";
        request.target = std::move(path);
        request.body = body.dump();
        const auto response = co_await httpExchange(node->administrationEndpoint(), std::move(request), seconds(5));
        REQUIRE(response.has_value());
        CHECK(response.value().status == status);
        co_return json::parse(response.value().body);
    }

    asio::awaitable<bool> leadershipConfirmed()
    {
        HttpRequest request;
        request.target = "/v1/status";
        const auto response = co_await httpExchange(node->administrationEndpoint(), std::move(request), seconds(5));
        REQUIRE(response.has_value());
        co_return json::parse(response.value().body).at("current").get<bool>();
    }

    /// Creates an intent with one adapter and confirms its plan.
    asio::awaitable<void> confirmAdapter(std::string name, std::string version)
    {
        json adapters = json::array();
        adapters.push_back({{"name", name}, {"version", version}, {"base_model", "base"}, {"current", true}});
        const auto intent = json{{"command_id", "create-" + name + version},
                                 {"name", name},
                                 {"service", "drafting"},
                                 {"adapters", adapters}};
        const auto plan = co_await post("/v1/intents", intent);
        const auto confirm
            = json{{"command_id", "confirm-" + name + version}, {"base_revision", plan.at("base_revision")}};
        (void)co_await post("/v1/plans/" + plan.at("plan").get<std::string>() + "/confirm", confirm);
    }

    /// Waits until the control node leads: until then it refuses commands with status 503.
    asio::awaitable<void> waitForLeadership()
    {
        Timer timer(io);
        const auto deadline = Clock::now() + seconds(10);
        bool leads = co_await leadershipConfirmed();
        while (!leads) {
            REQUIRE(Clock::now() < deadline);
            timer.expires_after(milliseconds(5));
            co_await timer.async_wait(asio::use_awaitable);
            leads = co_await leadershipConfirmed();
        }
    }

    /// Runs the client once the control node leads.
    void run(const std::function<asio::awaitable<void>()> &client)
    {
        test::runThenStop(
            io,
            [&]() -> asio::awaitable<void> {
                co_await waitForLeadership();
                co_await client();
            },
            [this]() -> asio::awaitable<void> {
                co_await entry.stop();
                co_await node->shutDown();
            });
    }

    asio::io_context io;
    std::filesystem::path folder;
    std::unique_ptr<ControlNode> node;
    Supervisor entry{io.get_executor(), "entry"};
};

asio::awaitable<void> waitUntil(std::function<bool()> condition)
{
    Timer timer(co_await asio::this_coro::executor);
    const auto deadline = Clock::now() + seconds(10);
    while (!condition()) {
        REQUIRE(Clock::now() < deadline);
        timer.expires_after(milliseconds(5));
        co_await timer.async_wait(asio::use_awaitable);
    }
}

} // namespace

TEST_CASE("a confirmed plan reaches a watching entry and is in force there only once the entry activates it")
{
    System system;
    std::vector<Revision> held;
    ControlLink link(system.entry, system.options("e1"), {.onRevisionHeld = [&](Revision revision) {
                         held.push_back(revision);
                     }});
    link.start();
    system.run([&]() -> asio::awaitable<void> {
        co_await waitUntil([&] { return link.hasConfiguration(); });
        co_await system.confirmAdapter("rules", "1");
        co_await waitUntil([&] { return link.heldRevision() == Revision(1); });
        CHECK(link.inForce().adapters.size() == 0);
        link.activate(Revision(1));
        CHECK(link.inForce().adapters.currentVersion("rules") == AdapterRef("rules", "1"));
        co_await system.confirmAdapter("rules", "2");
        co_await waitUntil([&] { return link.heldRevision() == Revision(2); });
        link.activate(Revision(2));
        CHECK_FALSE(link.inForce().adapters.find(AdapterRef("rules", "1")));
        CHECK(held == std::vector<Revision>{Revision(1), Revision(2)});
    });
}

TEST_CASE("a call that is not repeatable is granted to one entry, and a resend gets the recorded answer")
{
    System system;
    ControlLink first(system.entry, system.options("e1"), {});
    ControlLink second(system.entry, system.options("e2"), {});
    first.start();
    second.start();
    system.run([&]() -> asio::awaitable<void> {
        auto calls = first.calls();
        auto otherCalls = second.calls();
        co_await waitUntil([&] { return calls.connected() && otherCalls.connected(); });
        CHECK((co_await calls.reserveCall("k", 7)).value().outcome == ReservationOutcome::Granted);
        CHECK((co_await calls.reserveCall("k", 7)).value().outcome == ReservationOutcome::InDoubt);
        CHECK((co_await otherCalls.reserveCall("k", 8)).value().outcome == ReservationOutcome::KeyReused);
        CHECK((co_await calls.completeCall("k", 201, "text/plain", "done")).has_value());
        const auto resent = co_await otherCalls.reserveCall("k", 7);
        CHECK(resent.value().outcome == ReservationOutcome::Completed);
        CHECK(resent.value().status == 201);
        CHECK(resent.value().body == "done");
        CHECK((co_await calls.reserveCall("never-sent", 1)).value().outcome == ReservationOutcome::Granted);
        CHECK((co_await calls.releaseCall("never-sent")).has_value());
        CHECK((co_await otherCalls.reserveCall("never-sent", 1)).value().outcome == ReservationOutcome::Granted);
    });
}

TEST_CASE("a call fails with Unavailable, not OutcomeUnknown, when no control host can be reached")
{
    System system;
    auto options = system.options("e1");
    options.hosts = {{"127.0.0.1", 1}};
    options.callTimeout = milliseconds(200);
    ControlLink link(system.entry, options, {});
    system.run([&]() -> asio::awaitable<void> {
        const auto reserved = co_await link.calls().reserveCall("k", 1);
        REQUIRE(reserved.has_error());
        CHECK(reserved.error().code == ControlErrorCode::Unavailable);
        CHECK_FALSE(link.calls().connected());
    });
}

TEST_CASE("an entry without a control host starts from a peer's configuration, and refuses truncated bytes")
{
    System system;
    ControlLink link(system.entry, system.options("e1"), {});
    ControlLink restarted(system.entry, system.options("e2"), {});
    link.start();
    system.run([&]() -> asio::awaitable<void> {
        co_await waitUntil([&] { return link.hasConfiguration(); });
        co_await system.confirmAdapter("rules", "1");
        co_await waitUntil([&] { return link.heldRevision() == Revision(1); });
        const auto exported = link.exportNewest();
        REQUIRE(exported);
        CHECK_FALSE(restarted.importFromPeer(exported->second.substr(0, exported->second.size() / 2)));
        CHECK_FALSE(restarted.hasConfiguration());
        CHECK(restarted.importFromPeer(exported->second));
        CHECK(restarted.heldRevision() == Revision(1));
        CHECK(restarted.inForce().adapters.size() == 1);
    });
}
