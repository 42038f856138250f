#include "Deployment.h"
#include "OddEntries.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace asio = boost::asio;
using namespace tamarackcove;
using namespace tamarackcove::test;
using nlohmann::json;

// Guards against an id that cannot stand in the header of a request, or makes it longer than servers accept.
TEST_CASE("a heartbeat of a server whose id is empty, very long or not ASCII is refused")
{
    const auto beat = heartbeatAt("127.0.0.1:80").dump();
    Deployment deployment;
    deployment.addServer("p1", "plain", answerInFull);
    deployment.run([&]() -> asio::awaitable<void> {
        for (const auto &id : {std::string(), std::string(8000, 'i'), std::string("i\xff")}) {
            const auto status = co_await deployment.callControl("POST", "/v1/Instances.Heartbeat/" + id, beat);
            CAPTURE(id.substr(0, 40));
            CHECK(status == 400);
        }
        const auto withoutId = co_await deployment.callControl("POST", "/v1/Instances.Deregister/", "");
        CHECK(withoutId == 400);
    });
}

// Guards against an entry that makes the list of the servers longer than the largest frame.
TEST_CASE("a heartbeat with very long names is refused, and entries learn of further servers")
{
    Deployment deployment;
    deployment.addServer("p1", "plain", answerInFull);
    StandInServer added(deployment.executor(), "p9", answerInFull);
    deployment.run([&]() -> asio::awaitable<void> {
        added.start();
        const std::string longName(2 * 1024 * 1024, 'x');
        for (const auto *field : {"zone", "service"}) {
            for (const auto *name : {"a\nb", "a\x7f"}) {
                auto beat = heartbeatAt("127.0.0.1:9");
                beat[field] = name;
                const auto status = co_await deployment.callControl("POST", "/v1/Instances.Heartbeat/x", beat.dump());
                CHECK(status == 400);
            }
            auto beat = heartbeatAt("127.0.0.1:9");
            beat[field] = longName;
            const auto status
                = co_await deployment.callControl("POST", std::string("/v1/Instances.Heartbeat/") + field, beat.dump());
            CHECK(status == 400);
        }
        auto manyModels = heartbeatAt("127.0.0.1:9");
        for (int i = 0; i < 100000; ++i) {
            manyModels["models"].push_back({{"name", "model" + std::to_string(i)}});
        }
        const auto many = co_await deployment.callControl("POST", "/v1/Instances.Heartbeat/many", manyModels.dump());
        CHECK(many == 400);
        for (const auto *field : {"model", "adapter"}) {
            json version{{"model", "m"}, {"adapter", "a1"}, {"version", 2}};
            version[field] = std::string(300000, 'a');
            const auto named = co_await deployment.callControl("POST", "/v1/version-put", version.dump());
            CHECK(named == 400);
        }
        const auto beat = added.heartbeat("plain").dump();
        const auto status = co_await deployment.callControl("POST", "/v1/Instances.Heartbeat/p9", beat);
        CHECK(status == 200);
        for (int i = 0; i < 100 && added.requests.empty(); ++i) {
            (void)co_await deployment.call("POST", "/once/x", "call" + std::to_string(i));
            co_await deployment.sleepFor(milliseconds(20));
        }
        CHECK(added.requests.size() > 0);
        co_await added.stop();
    });
}
