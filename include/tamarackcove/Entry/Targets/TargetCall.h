#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Entry/Targets/Destination.h"
#include "tamarackcove/Http/CallerWatch.h"
#include "tamarackcove/Http/HttpRequest.h"
#include "tamarackcove/Requests/Refusal.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace tamarackcove {

class HttpConnection;
class HttpResponder;
class RequestLifecycle;
class StreamRelay;
struct Call;
struct DispatchContext;
struct HttpError;
struct HttpResponse;

/// Sends one request to a target, relays the response, and resumes it when the connection breaks.
///
/// TargetCall.cpp sends the request and ends the attempt, TargetCallResponse.cpp receives the response, and
/// TargetCallRecovery.cpp resumes it and detects whether the target went down. Each run() makes one attempt; the owner
/// decides by the phase of the request whether another one follows.
/// Thread safety: used on one thread, by one coroutine.
class TargetCall
{
public:
    enum class End {
        /// The caller has a response or an error, or has gone; no other attempt follows.
        Answered,
        /// The attempt did not run; RequestLifecycle has recorded that.
        NotRun,
        /// The attempt may have run; RequestLifecycle decides whether another one may follow.
        Lost,
    };

    /// Precondition: all arguments outlive the object.
    TargetCall(const DispatchContext &context, const Call &call, const HttpRequest &outgoing, HttpResponder &responder,
               RequestLifecycle &life, CallerWatch::WatchedRequest &watched);
    ~TargetCall();
    TargetCall(const TargetCall &) = delete;
    TargetCall &operator=(const TargetCall &) = delete;

    /// Makes one attempt at the destination. Precondition: RequestLifecycle::mayDispatch().
    boost::asio::awaitable<End> run(const Destination &destination);

    /// Why the last attempt did not end as Answered.
    [[nodiscard]] const Refusal &reason() const;
    /// Whether the last attempt failed because the target went down.
    [[nodiscard]] bool targetCrashed() const;
    [[nodiscard]] std::uint64_t tokens() const;

private:
    enum class ReceiveEnd {
        Complete,
        NotRun,
        Broken,
        /// The response cannot be resumed: the target no longer knows the request, resuming failed too often, or the
        /// response exceeds a limit.
        Unresumable,
        CallerGone,
    };

    boost::asio::awaitable<std::optional<End>> reserve();
    boost::asio::awaitable<End> exchange();
    boost::asio::awaitable<ReceiveEnd> receive(bool resumed);
    boost::asio::awaitable<ReceiveEnd> receiveBuffered(HttpResponse head, bool resumed);
    boost::asio::awaitable<ReceiveEnd> receiveEvents(const HttpResponse &head);
    boost::asio::awaitable<ReceiveEnd> relayBody(HttpResponse head, std::string buffered);
    boost::asio::awaitable<ReceiveEnd> recover();
    boost::asio::awaitable<bool> sendResume();
    /// Ends an attempt whose response was lost.
    boost::asio::awaitable<End> endAsLost();
    /// Ends an attempt whose caller has gone.
    boost::asio::awaitable<End> endWithoutCaller();
    /// Asks the engine to cancel the attempt.
    boost::asio::awaitable<void> cancel();
    /// Finds out whether the target went down, and calls noteCrash() if it did.
    boost::asio::awaitable<void> checkForCrash();
    /// Records the response of a call that is not repeatable at the control group.
    boost::asio::awaitable<void> recordResponse(int status, std::string contentType, std::string body);
    [[nodiscard]] std::string attemptId() const;
    [[nodiscard]] HttpRequest attemptRequest() const;
    [[nodiscard]] milliseconds readTimeout() const;
    /// The time after which a response that still arrives is given up.
    [[nodiscard]] TimePoint responseEndTime() const;
    /// Logs that the response was refused or broken off, unless the caller has left.
    void logBroken(const HttpError &error) const;
    /// Logs that the response exceeds a limit. Returns ReceiveEnd::Unresumable.
    [[nodiscard]] ReceiveEnd giveUp(std::string_view reason) const;
    /// Whether the response says that the request did not run; if so, sets the reason.
    [[nodiscard]] bool checkNotRun(const HttpResponse &response);
    End endAsNotRun(Refusal reason);
    /// Records that the target went down and reports the fingerprints of the requests that were in flight on it.
    void noteCrash();

    const DispatchContext &m_context;
    const Call &m_call;
    const HttpRequest &m_outgoing;
    HttpResponder &m_responder;
    RequestLifecycle &m_life;
    CallerWatch::WatchedRequest &m_watched;
    Destination m_destination;
    std::unique_ptr<HttpConnection> m_connection;
    std::unique_ptr<StreamRelay> m_relay;
    Refusal m_reason;
    TimePoint m_dispatchedAt;
    TimePoint m_resumedAt;
    std::uint64_t m_resumeOffset = 0;
    /// Consecutive resumes that received no token and failed before DispatchContext::Options::progressTimeout.
    int m_failedResumes = 0;
    int m_attempt = 0;
    bool m_targetCrashed = false;
};

} // namespace tamarackcove
