#include "Deployment.h"

namespace asio = boost::asio;
using namespace tamarackcove;
using namespace tamarackcove::test;

// Guards against a body that is lost or changed between caller and server: the entry sends it apart from the head that
// the codec makes, and once more to the next server.
TEST_CASE("the body of a request reaches each server to which it is sent unchanged")
{
    Deployment deployment;
    std::vector<HttpRequest> received;
    const StandInServer::Behaviour refuseFirst = [&](const HttpRequest &request, HttpResponder &responder) {
        const auto isSame = [&request](const HttpRequest &one) {
            return one.headers.find("Tamarackcove-Attempt-Id") == request.headers.find("Tamarackcove-Attempt-Id");
        };
        const bool seen = std::any_of(received.begin(), received.end(), isSame);
        received.push_back(request);
        return seen ? answerInFull(request, responder) : refuseWithoutRunning(request, responder);
    };
    deployment.addServer("s1", "plain", refuseFirst);
    deployment.addServer("s2", "plain", refuseFirst);
    deployment.addServer("e1", "engines", answerInFull);
    deployment.run([&]() -> asio::awaitable<void> {
        int number = 0;
        for (const std::size_t size : {std::size_t(2), std::size_t(16 * 1024 + 1), std::size_t(3 * 1024 * 1024)}) {
            std::string body(size, '\xff');
            body.front() = '\0';
            received.clear();
            auto request
                = Deployment::callerRequest("POST", "/again/x", "r" + std::to_string(++number), "", milliseconds(4000));
            request.body = body;
            const auto response = co_await httpExchange(deployment.callerEndpoint(), std::move(request), CallTimeout);
            REQUIRE(response.has_value());
            CHECK(response.value().status == 200);
            REQUIRE(received.size() == 2);
            CHECK(received.front().body == body);
            CHECK(received.back().body == body);
        }
    });
}
