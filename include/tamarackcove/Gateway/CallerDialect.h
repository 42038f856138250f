#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Fleet/DeploymentConfiguration.h"
#include "tamarackcove/Fleet/ServerRecord.h"
#include "tamarackcove/Http/HttpRequest.h"
#include "tamarackcove/Http/HttpResponse.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace tamarackcove {

/// What a request says of itself, apart from method, path and body.
struct CallerRequest
{
    /// Unique for each attempt of a caller; servers repeat it in their answers.
    std::string attemptId;
    /// How long the caller waits.
    std::optional<milliseconds> patience;
    std::optional<BaseModel> model;
    std::optional<AdapterKey> adapter;
    /// Length of the prompt, if it says so.
    int promptTokens = 0;
};

/// What the entry adds when it sends a request to a server.
struct Dispatch
{
    ServerIdentity server;
    milliseconds timeLeft{0};
    /// Set when the server must not run the request on an older version of the adapter.
    std::optional<std::uint64_t> minVersion;
    /// Set when a stream that broke off goes on after this event.
    std::optional<std::string> lastEvent;
};

/// What the head of a server's answer says.
struct ServerAnswer
{
    /// The answer is one to this request, from a server.
    bool authentic = false;
    /// The server has not run the request and will not.
    bool notRun = false;
    /// Another server has the address, or it does not hold the weights or the version.
    bool wrongServer = false;
    /// The server that has answered, if it says so.
    TargetId server;
    bool eventStream = false;
};

/// Why the entry itself answers a request.
enum class EntryRefusal {
    NoRoute,
    /// No configuration is known yet.
    NotReady,
    /// No server can take it in time; it has not run.
    NoServer,
    /// It may have run, and its answer was lost.
    OutcomeUnknown,
    /// It may have run; no answer came in time.
    TimedOut,
};

/// How callers and servers speak on the request path.
struct CallerDialect
{
    std::function<Result<DeploymentConfiguration, std::string>(std::string_view document)> readConfiguration;
    std::function<CallerRequest(const HttpRequest &)> readRequest;
    std::function<HttpRequest(const HttpRequest &, const Dispatch &)> serverRequest;
    std::function<ServerAnswer(const CallerRequest &, const HttpResponse &)> readAnswer;
    std::function<HttpResponse(const CallerRequest &, EntryRefusal, milliseconds retryAfter)> refuse;
    /// The path at which readiness is asked.
    std::string readyPath;
};

} // namespace tamarackcove
