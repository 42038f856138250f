#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Fleet/CrashSuspect.h"
#include "tamarackcove/Fleet/DeploymentConfiguration.h"
#include "tamarackcove/Fleet/ServerRecord.h"
#include "tamarackcove/Http/HttpRequest.h"
#include "tamarackcove/Http/HttpResponse.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackcove {

/// Properties that a caller states in the headers of its request.
struct CallerRequest
{
    /// Unique for each attempt of a caller; servers echo it in their answers.
    std::string attemptId;
    /// How long the caller waits for the answer; absent if the request does not say.
    std::optional<milliseconds> callerTimeout;
    std::optional<BaseModel> model;
    std::optional<AdapterKey> adapter;
    /// Length of the prompt; 0 if the request does not say.
    int promptTokens = 0;
    /// The most tokens that the request may generate, and how many its caller expects; 0 if the request does not say.
    int maxOutputTokens = 0;
    int expectedOutputTokens = 0;
    /// The parts of the prompt in their order; empty if the request does not say.
    std::vector<CrashSuspect> promptParts;
    /// Who sends the request, as far as the request says; empty if it does not.
    std::string callerId;
    /// The key of a workspace; empty if the request carries none.
    std::string workspaceKey;
};

/// Values that the entry adds to a request when it sends it to a server.
struct Dispatch
{
    ServerIdentity server;
    /// Time left until the deadline of the request.
    milliseconds timeLeft{0};
    /// The oldest version of the adapter on which the server may run the request; absent if any version may be used.
    std::optional<std::uint64_t> minVersion;
    /// When an interrupted stream is resumed: id of the last event that the caller has received.
    std::optional<std::string> lastEventId;
    /// Whether the configuration has workspaces: the server then gets neither the credentials of the caller nor a
    /// workspace that the caller names.
    bool withholdCredentials = false;
    /// The workspace that holds the key of the request; absent if the request needs no key.
    std::optional<WorkspaceName> workspace;
    /// From 0, the most urgent, to MaxUrgency: the order in which an engine runs requests. Absent if the engine is to
    /// treat the request as one of medium urgency.
    std::optional<int> urgency;
    static constexpr int MaxUrgency = 9;
};

/// Properties of a server's answer, read from its head.
struct ServerAnswer
{
    /// Whether the answer comes from a server and belongs to this request.
    bool authentic = false;
    /// Whether the server states that it has not run the request and will not run it.
    bool notRun = false;
    /// Whether the address belongs to another server now, or the server does not hold the weights or the required
    /// version.
    bool wrongServer = false;
    /// The server that has answered; empty if the answer does not say.
    TargetId server;
    /// Whether the body of the answer is an event stream.
    bool eventStream = false;
    /// Whether the server states that it is about to stop and wants no further requests.
    bool leaving = false;
    /// For how long a server that refuses a request wants no further ones; absent if the answer does not say.
    std::optional<milliseconds> retryAfter;
};

/// Why the entry answers a request itself instead of relaying a server's answer.
enum class EntryRefusal {
    /// No route matches host and path.
    NoRoute,
    /// The entry has not received a configuration yet.
    NotReady,
    /// The request needs the key of a workspace, and no workspace holds the one that it carries.
    UnknownKey,
    /// The workspace of the request is over its allowance; the request has not run.
    OverAllowance,
    /// No server can take the request in time; it has not run.
    NoServer,
    /// The servers of the service are overloaded and have no room for the request in time; it has not run.
    Overloaded,
    /// The request or a part of its prompt crashes servers; the request has not run.
    Quarantined,
    /// This entry is being stopped and may be killed before the request has to be answered; it has not run.
    Stopping,
    /// The request may have run, and its answer was lost.
    OutcomeUnknown,
    /// The request may have run; no answer came before its deadline.
    TimedOut,
};

/// Encodes and decodes the messages of the request path, so that the entry does not depend on their format.
struct CallerDialect
{
    std::function<Result<DeploymentConfiguration, std::string>(std::string_view document)> readConfiguration;
    std::function<CallerRequest(const HttpRequest &)> readRequest;
    /// Makes the head of the request that is sent to the server from the caller's request. Leaves the body empty, as
    /// the entry sends the body of the caller's request without a copy.
    std::function<HttpRequest(const HttpRequest &, const Dispatch &)> serverRequest;
    std::function<ServerAnswer(const CallerRequest &, const HttpResponse &)> readAnswer;
    /// Makes the answer to a request that the entry refuses.
    std::function<HttpResponse(const CallerRequest &, EntryRefusal, milliseconds retryAfter)> refuse;
    /// Path of the readiness probe.
    std::string readyPath;
};

} // namespace tamarackcove
