#include "Deployment.h"

#include <doctest/doctest.h>
#include <string>

namespace asio = boost::asio;
using namespace tamarackcove;
using namespace tamarackcove::test;

// Guards against an error of the control host where the sender of bytes that cannot be read must be told so: operators
// send a configuration again after a 5xx.
TEST_CASE("a body that is not UTF-8 is refused")
{
    Deployment deployment;
    deployment.addServer("p1", "plain", answerInFull);
    deployment.run([&]() -> asio::awaitable<void> {
        for (const auto *path : {"/v1/Instances.Heartbeat/odd", "/v1/Config.Replace", "/v1/version-put"}) {
            for (const std::string body : {"\"\xff\"", "{\"service\":\"\xc3\x28\"}", "\x01\xff", ""}) {
                const auto status = co_await deployment.callControl("POST", path, body);
                CAPTURE(std::string(path));
                CAPTURE(body.substr(0, 40));
                CHECK(status == 400);
            }
        }
    });
}
