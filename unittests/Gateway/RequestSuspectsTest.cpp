#include "tamarackcove/Gateway/RequestSuspects.h"

#include "tamarackcove/Gateway/CallerDialect.h"
#include "tamarackcove/Http/HttpRequest.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <optional>

using namespace tamarackcove;

namespace {

struct Message
{
    HttpRequest request;
    CallerRequest caller;
};

} // namespace

static Message message()
{
    Message result;
    result.request.method = "POST";
    result.request.target = "/a/1?b=2";
    result.request.body = "body";
    result.request.headers = {{"Host", "h.example"}, {"Tamarackcove-Length-Hint", "5"}};
    result.caller.callerId = "caller";
    result.caller.callerTimeout = milliseconds(500);
    result.caller.adapter = AdapterKey{BaseModel("m"), "a1"};
    result.caller.promptParts = {CrashSuspect("part")};
    return result;
}

static std::optional<CrashSuspect> suspectOf(const Message &from, SuspectKind kind)
{
    const auto suspects = crashSuspectsOf(from.request, from.caller);
    const auto found = std::find_if(suspects.begin(), suspects.end(),
                                    [kind](const CrashSuspect &suspect) { return kindOf(suspect) == kind; });
    return found == suspects.end() ? std::nullopt : std::optional(*found);
}

// Guards against a deadly request that is taken for another one, and against a sound one that is taken for it.
TEST_CASE("which requests are equal depends on the path, caller, body, adapter and prompt, and on no other header")
{
    struct Row
    {
        const char *what;
        std::function<void(Message &)> change;
        bool sameRequest;
        bool sameBody;
        bool samePath;
    };
    const std::vector<Row> rows{
        {"attempt", [](Message &changed) { changed.caller.attemptId = "other"; }, true, true, true},
        {"deadline", [](Message &changed) { changed.caller.callerTimeout = milliseconds(9); }, true, true, true},
        {"tokens", [](Message &changed) { changed.caller.promptTokens = 9; }, true, true, true},
        {"hint", [](Message &changed) { changed.request.headers.set("Tamarackcove-Length-Hint", "6"); }, true, true,
         true},
        {"header", [](Message &changed) { changed.request.headers.set("X-Trace", "1"); }, true, true, true},
        {"adapter", [](Message &changed) { changed.caller.adapter->adapter = "a2"; }, false, true, true},
        {"prompt", [](Message &changed) { changed.caller.promptParts = {CrashSuspect("other")}; }, false, true, true},
        {"body", [](Message &changed) { changed.request.body = "other"; }, false, false, true},
        {"method", [](Message &changed) { changed.request.method = "PUT"; }, false, false, false},
        {"host", [](Message &changed) { changed.request.headers.set("Host", "i.example"); }, false, false, false},
        {"path", [](Message &changed) { changed.request.target = "/a/2?b=2"; }, false, false, false},
        {"query", [](Message &changed) { changed.request.target = "/a/1?b=3"; }, false, false, false},
        {"caller", [](Message &changed) { changed.caller.callerId = "other"; }, false, false, false},
    };
    const auto original = message();
    for (const auto &row : rows) {
        INFO(row.what);
        auto changed = message();
        row.change(changed);
        const auto same = [&](SuspectKind kind) {
            const auto suspect = suspectOf(original, kind);
            REQUIRE(suspect.has_value());
            return suspect == suspectOf(changed, kind);
        };
        CHECK(same(SuspectKind::Request) == row.sameRequest);
        CHECK(same(SuspectKind::RequestBody) == row.sameBody);
        CHECK(same(SuspectKind::RequestPath) == row.samePath);
    }
}

// Guards against evidence that grows with suspects that stand for the same requests.
TEST_CASE("a plain request without a body is one suspect")
{
    Message plain;
    plain.request.method = "GET";
    plain.request.target = "/a";
    const auto suspects = crashSuspectsOf(plain.request, plain.caller);
    REQUIRE(suspects.size() == 1);
    CHECK(kindOf(suspects.front()) == SuspectKind::Request);
}
