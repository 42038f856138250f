#pragma once

#include "tamarackcove/Fleet/CostEstimator.h"
#include "tamarackcove/Fleet/PlannedStop.h"
#include "tamarackcove/Fleet/ServerDirectory.h"
#include "tamarackcove/Gateway/AnswerBudget.h"
#include "tamarackcove/Gateway/CallerDialect.h"
#include "tamarackcove/Gateway/ServiceAdmission.h"
#include "tamarackcove/Http/HttpError.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <random>

namespace tamarackcove {

class CallerWatch;
class FleetView;
class HttpConnection;
class HttpResponder;
class Metrics;
class ServerConnections;
struct RouteRule;

/// Serves requests of callers: finds the route of a request, waits for a server that can run it, sends it, and relays
/// the answer. A request that may have run is sent again only if its route allows that.
///
/// Thread safety: used on the thread of the executor; several requests are in progress at once.
class RequestRelay
{
public:
    struct Parts
    {
        FleetView &view;
        ServerConnections &connections;
        CallerWatch &watch;
        ServiceAdmission &admission;
        Metrics &metrics;
        const CallerDialect &dialect;
        /// Whether the leader of the control hosts is connected.
        std::function<bool()> leaderConnected;
        /// Limit on the answers of servers that have not arrived in full, together.
        std::size_t maxAnswerBytes = AnswerBudget::MaxTotalBytes;
    };

    explicit RequestRelay(Parts parts);

    boost::asio::awaitable<void> serve(const HttpRequest &request, HttpResponder &responder);
    /// From now on passes on only requests that are answered before the stop ends, and refuses the others as not run.
    /// Requests that are at a server already go on until PlannedStop::answersDueAt().
    void beginStop(const PlannedStop &stop);
    /// Ends the requests in progress: those that may have run are answered as failed or timed out, the others are
    /// refused, and streams are cut. Precondition: beginStop() was called, and PlannedStop::answersDueAt() has passed.
    void endRequests();

private:
    struct Attempt;
    struct Exchange;
    /// Result of one attempt to send a request to a server.
    enum class Step {
        /// The caller has received the answer, or has disconnected.
        Finished,
        /// The request did not run at this server; another server may be tried.
        NotRun,
        /// The request may have run at this server; maySendAgain() decides whether another server is tried.
        MayHaveRun,
        /// The server has fallen silent, and the attempt is kept open in Exchange::silentAttempt while another server
        /// is asked to take the request over.
        Silent,
        /// No server can be tried.
        NoServer,
    };

    boost::asio::awaitable<void> awaitConfiguration(Exchange &exchange);
    /// Decides whether the request may be sent to servers. Otherwise refuses it and returns false.
    boost::asio::awaitable<bool> admit(Exchange &exchange);
    /// Finds the workspace of the request. Returns false if the request needs a key that no workspace holds.
    [[nodiscard]] static bool identifyWorkspace(Exchange &exchange);
    /// Takes the cost of the request from the allowance of its workspace. Otherwise refuses it and returns false.
    boost::asio::awaitable<bool> takeAllowance(Exchange &exchange);
    /// Returns the cost of a request that was not sent to any server to the allowance of its workspace.
    void returnAllowance(const Exchange &exchange);
    /// Waits until the overload of the service, if there is one, leaves room for the request. Returns false if it was
    /// refused or its caller has disconnected. Only for a request that was not sent to any server.
    boost::asio::awaitable<bool> awaitAdmission(Exchange &exchange);
    /// The request as admission control sees it.
    [[nodiscard]] static ServiceAdmission::Applicant applicantOf(const Exchange &exchange);
    /// Records how long an answered request has occupied its server.
    void recordServiceTime(const Exchange &exchange);
    /// The urgency with which an engine runs the request; absent if the engine is to treat all requests alike.
    [[nodiscard]] std::optional<int> urgencyOf(const Exchange &exchange, TimePoint now) const;
    /// Sends the request to one server after the other until it is answered or may not be sent again.
    boost::asio::awaitable<void> tryServers(Exchange &exchange);
    boost::asio::awaitable<Step> tryNextServer(Exchange &exchange);
    /// Waits for a server that can run the request now. Returns nothing if no server can before the wait limit or the
    /// deadline of the request, or if the caller has disconnected. Does not wait while a silent attempt is open.
    boost::asio::awaitable<std::optional<ServerDirectory::Choice>> awaitServer(Exchange &exchange);
    /// Sends the request to a server.
    boost::asio::awaitable<Step> attempt(Exchange &exchange, ServerDirectory::Choice choice);
    boost::asio::awaitable<Step> awaitAnswer(Exchange &exchange, std::unique_ptr<Attempt> attempt);
    boost::asio::awaitable<Result<HttpResponse, HttpError>> awaitHead(Exchange &exchange, Attempt &attempt);
    boost::asio::awaitable<Step> relayAnswer(Exchange &exchange, std::unique_ptr<Attempt> attempt, HttpResponse head);
    boost::asio::awaitable<Step> relayCompleteAnswer(Exchange &exchange, std::unique_ptr<Attempt> attempt,
                                                     HttpResponse head);
    boost::asio::awaitable<Step> relayStream(Exchange &exchange, std::unique_ptr<Attempt> attempt);
    /// Reads on from the silent server, after no other one has taken the request over.
    boost::asio::awaitable<Step> returnToSilentServer(Exchange &exchange);
    boost::asio::awaitable<Step> handleNotRun(Exchange &exchange, std::unique_ptr<Attempt> attempt,
                                              ServerAnswer answer);
    /// Reads the rest of a refusal, so that the connection can be reused, within limits on its bytes and its time.
    boost::asio::awaitable<void> readRefusalBody(const Exchange &exchange, const ServerDirectory::Choice &choice,
                                                 HttpConnection &connection);
    /// Applies what the head of an answer states about its server besides the answer to the request.
    void applyServerStatements(const Exchange &exchange, const ServerDirectory::Choice &choice,
                               const ServerAnswer &answer);
    /// When a caller whose request no server can take should send it again.
    [[nodiscard]] milliseconds retryAfterFor(const Exchange &exchange) const;
    /// Answers a request for which no server's answer was relayed.
    boost::asio::awaitable<void> answerUnservedRequest(Exchange &exchange);
    boost::asio::awaitable<void> refuse(Exchange &exchange, EntryRefusal refusal, milliseconds retryAfter);
    /// Handles a request that was sent to a server and got no complete answer. Returns Step::Finished if the caller of
    /// the request has disconnected.
    [[nodiscard]] Step recordLostAnswer(Exchange &exchange, const ServerDirectory::Choice &choice,
                                        ServerOutcome outcome, std::string_view reason);
    /// Records that an attempt ended, or was given up, before the first event of a stream or the end of another answer,
    /// which is evidence that the server may have crashed under the request. `error` is that of its last read or write.
    void recordUnanswered(const Exchange &exchange, const Attempt &attempt, const HttpError &error);
    /// Whether this entry is being stopped and has given up the answers of servers.
    [[nodiscard]] bool answersGivenUp(TimePoint now) const;
    [[nodiscard]] bool maySendAgain(const Exchange &exchange) const;
    /// What in the request crashes servers, or the request itself; null if neither is known to.
    [[nodiscard]] const CrashSuspect *quarantinedSuspect(const Exchange &exchange) const;
    /// Whether the request must not be sent because this entry is being stopped. Does not hold for a request that may
    /// have run, which cannot be refused any more.
    [[nodiscard]] bool refusedByStop(const Exchange &exchange) const;
    /// Takes a retry from the budget for the next attempt, unless one was taken already. Returns false if none is left.
    [[nodiscard]] bool takeRetry(Exchange &exchange);
    /// Whether another server may be asked to take over a request that has one open attempt.
    [[nodiscard]] bool mayBeTakenOver(const Exchange &exchange) const;
    /// How long a server may send nothing before another one is asked to take the request over.
    [[nodiscard]] static milliseconds maxSilence(const Exchange &exchange);
    /// Lets reads from the server go on beyond their timeout until another server can be asked to take the request
    /// over, or until the deadline of the request.
    void setTakeoverHook(Exchange &exchange, const Attempt &attempt);
    /// Whether a read has timed out because another server is to be asked to take the request over.
    [[nodiscard]] bool takeoverDue(const Exchange &exchange, const HttpError &error) const;
    /// Whether the silent server has gone on before the other one, at which the stream has begun, has sent an event. If
    /// not, the silent one is given up. Precondition: there is a silent attempt.
    [[nodiscard]] bool returnsToSilentServer(Exchange &exchange);
    /// How long the silent server is still kept beside this attempt, whose stream has begun; at least 1 ms.
    [[nodiscard]] static milliseconds overlapLeft(const Attempt &attempt);
    /// Keeps the attempt at a silent server open while another one is asked.
    [[nodiscard]] Step keepSilentAttempt(Exchange &exchange, std::unique_ptr<Attempt> attempt);
    /// Gives up the attempt at the silent server, if there is one, in favour of another one.
    void giveUpSilentAttempt(Exchange &exchange, std::string_view reason);
    /// Ends the attempt at the silent server, if there is one, because the request has ended.
    void endSilentAttempt(Exchange &exchange);
    /// Estimates what the request costs a server, and what it adds to the request load.
    void estimateCost(Exchange &exchange) const;
    /// Records what the request has cost. Precondition: a server has served it.
    void recordCost(const Exchange &exchange);
    /// Tokens that the server has generated so far.
    [[nodiscard]] static int tokensGenerated(const Exchange &exchange);
    /// Records the time between the first events of a stream, once. Precondition: the first event has arrived.
    void recordEventTime(Exchange &exchange, const Attempt &attempt);
    /// Records the time of a complete answer.
    void recordAnswerTime(const Attempt &attempt, TimePoint now);
    /// What the request needs of a server.
    [[nodiscard]] static ServerDirectory::Requirements requirementsOf(const Exchange &exchange);
    void logRouted(const Exchange &exchange) const;
    void logAdapterWait(const Exchange &exchange, Duration waited, std::string_view result) const;
    void logOverAllowance(const Exchange &exchange, double units, std::string_view decision, milliseconds retryAfter);
    void logSent(const Exchange &exchange, const ServerDirectory::Choice &choice, milliseconds timeLeft) const;
    /// Logs the end of a request and updates the request metrics.
    void recordEnd(const Exchange &exchange);

    Parts m_parts;
    /// Present while this entry is being stopped.
    std::optional<PlannedStop> m_stop;
    std::mt19937_64 m_random;
    std::uint64_t m_requestCount = 0;
    AnswerBudget m_answerBudget;
    CostEstimator m_costs;
};

} // namespace tamarackcove
