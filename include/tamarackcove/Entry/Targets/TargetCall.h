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

namespace tamarackcove {

class HttpConnection;
class HttpResponder;
class RequestLife;
class StreamRelay;
struct Call;
struct DispatchContext;
struct HttpResponse;

/// One request on its way to a target and back: sends it, relays the response, resumes it when the connection breaks.
///
/// TargetCall.cpp sends it and ends it, TargetCallResponse.cpp takes the response, and TargetCallRecovery.cpp resumes
/// it and finds out what became of the target. run() makes one attempt; the owner decides by the phase of the request
/// whether another follows. Thread safety: used on one thread, by one coroutine.
class TargetCall
{
public:
    enum class End {
        /// The caller has a response or an error, or has gone; nothing follows.
        Answered,
        /// Did not run; RequestLife says so too.
        NotRun,
        /// May have run; RequestLife decides whether it may be repeated.
        Lost,
    };

    /// Precondition: all arguments outlive the object.
    TargetCall(const DispatchContext &context, const Call &call, const HttpRequest &outgoing, HttpResponder &responder,
               RequestLife &life, CallerWatch::Watched &watched);
    ~TargetCall();
    TargetCall(const TargetCall &) = delete;
    TargetCall &operator=(const TargetCall &) = delete;

    /// Precondition: the life allows a dispatch.
    boost::asio::awaitable<End> run(const Destination &destination);

    /// Why the last attempt did not answer.
    [[nodiscard]] const Refusal &reason() const;
    /// Whether the last attempt failed because the target went down.
    [[nodiscard]] bool crashed() const;
    [[nodiscard]] std::uint64_t tokens() const;

private:
    enum class Received {
        Complete,
        NotRun,
        Broken,
        /// The target no longer knows the request.
        Unknown,
        CallerGone,
    };

    boost::asio::awaitable<std::optional<End>> reserve();
    boost::asio::awaitable<End> exchange();
    boost::asio::awaitable<Received> receive(bool resumed);
    boost::asio::awaitable<Received> receiveWhole(HttpResponse head, bool resumed);
    boost::asio::awaitable<Received> receiveEvents(const HttpResponse &head);
    boost::asio::awaitable<Received> relayBody(HttpResponse head, std::string begun);
    boost::asio::awaitable<Received> recover();
    boost::asio::awaitable<bool> sendResume();
    boost::asio::awaitable<End> lost();
    boost::asio::awaitable<End> abandon();
    boost::asio::awaitable<void> cancel();
    /// Finds out whether the target went down, and reports it.
    boost::asio::awaitable<void> examineTarget();
    boost::asio::awaitable<void> record(int status, std::string contentType, std::string body);
    [[nodiscard]] std::string attemptId() const;
    [[nodiscard]] HttpRequest attemptRequest() const;
    [[nodiscard]] milliseconds answerTimeout() const;
    [[nodiscard]] bool saysNotRun(const HttpResponse &response);
    End notRun(Refusal reason);
    void noteCrash();

    const DispatchContext &m_context;
    const Call &m_call;
    const HttpRequest &m_outgoing;
    HttpResponder &m_responder;
    RequestLife &m_life;
    CallerWatch::Watched &m_watched;
    Destination m_destination;
    std::unique_ptr<HttpConnection> m_connection;
    std::unique_ptr<StreamRelay> m_relay;
    Refusal m_reason;
    TimePoint m_lastProgress;
    TimePoint m_resumedAt;
    std::uint64_t m_resumedFrom = 0;
    /// In a row, without a token or an answer.
    int m_failedResumes = 0;
    int m_attempt = 0;
    bool m_crashed = false;
};

} // namespace tamarackcove
