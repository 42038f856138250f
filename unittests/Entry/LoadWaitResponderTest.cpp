#include "tamarackcove/Entry/Callers/LoadWaitResponder.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <utility>
#include <vector>

using namespace tamarackcove;
namespace asio = boost::asio;

namespace {

/// Keeps the response that the object under test passes on.
class KeepingResponder : public HttpResponder
{
public:
    asio::awaitable<Result<void, HttpError>> send(HttpResponse response) override
    {
        kept = std::move(response);
        co_return ok();
    }
    asio::awaitable<Result<void, HttpError>> beginStream(HttpResponse head) override
    {
        return send(std::move(head));
    }
    asio::awaitable<Result<void, HttpError>> writePiece(std::string_view) override
    {
        co_return ok();
    }
    asio::awaitable<Result<void, HttpError>> endStream() override
    {
        co_return ok();
    }
    [[nodiscard]] bool started() const override
    {
        return false;
    }
    [[nodiscard]] bool callerGone() const override
    {
        return false;
    }

    HttpResponse kept;
};

} // namespace

static std::string headerAfter(const std::vector<milliseconds> &waits, const std::string &reported, bool stream)
{
    asio::io_context context;
    KeepingResponder caller;
    LoadWaitResponder responder(caller);
    for (const auto wait : waits) {
        responder.addWait(wait);
    }
    HttpResponse response;
    if (!reported.empty()) {
        response.headers.set("x-tamarackcove-load-wait-ms", reported);
    }
    const auto write = [&]() -> asio::awaitable<void> {
        if (stream) {
            (void)co_await responder.beginStream(std::move(response));
        } else {
            (void)co_await responder.send(std::move(response));
        }
    };
    asio::co_spawn(context, write, asio::detached);
    context.run();
    return std::string(caller.kept.headers.find("x-tamarackcove-load-wait-ms").value_or("missing"));
}

TEST_CASE("the load wait header of a response holds the sum of all waits")
{
    // Guards against a response without the header and against a header that holds only the last wait: in both cases a
    // load test would report too short a load stall (the time that a request waits for its adapter to load).
    for (const bool stream : {false, true}) {
        CHECK(headerAfter({}, "", stream) == "0");
        CHECK(headerAfter({milliseconds(200), milliseconds(50)}, "", stream) == "250");
    }
}

TEST_CASE("the load wait header adds the wait reported by the entry that served a forwarded request")
{
    // Guards against a forwarding entry that overwrites the wait reported by the other entry, and against one that
    // fails on a header that is not a number.
    CHECK(headerAfter({milliseconds(20)}, "300", true) == "320");
    CHECK(headerAfter({milliseconds(20)}, "unreadable", false) == "20");
}
