#include "Deployment.h"

#include <chrono>
#include <thread>

namespace asio = boost::asio;
using namespace tamarackcove;
using namespace tamarackcove::test;

/// The system calls on a disk on which each sync takes this long.
static FileHooks slowDisk(milliseconds syncTime)
{
    auto files = FileHooks::system();
    files.sync = [sync = files.sync, syncTime](int file) {
        std::this_thread::sleep_for(syncTime);
        return sync(file);
    };
    return files;
}

// Guards against requests for an adapter that fail for as long as the disk of the leader is slow, although no load of
// an adapter waits for the disk.
TEST_CASE("adapters load while each sync of the control host takes a second")
{
    Deployment deployment;
    deployment.files = slowDisk(seconds(1));
    StandInServer::Behaviour sendsEvents = [](const HttpRequest &request, HttpResponder &responder) {
        return sendEvents(request, responder, 2, 2);
    };
    deployment.addServer("p1", "plain", answerInFull);
    deployment.addServer("s1", "engines", sendsEvents);
    deployment.run([&]() -> asio::awaitable<void> {
        const auto response = co_await deployment.call("POST", "/stream/x", "load", "a1");
        CHECK(response.status == 200);
    });
}
