#pragma once

#include "ConnectionPool.h"
#include "tamarackcove/Load/LoadSettings.h"
#include "tamarackcove/Load/LoadSummary.h"

#include <boost/asio/awaitable.hpp>
#include <functional>

namespace tamarackcove {

/// Sends one request of a trace, with the retries that the settings allow, and records the result.
///
/// Thread safety: used on one thread, by one coroutine.
class RequestTask
{
public:
    struct Hooks
    {
        /// Called for every error response, error event and connection that failed or broke.
        std::function<void(const std::string &code)> onError;
    };

    /// Precondition: the settings, the request and the pool outlive this object.
    RequestTask(const LoadSettings &settings, const TracedRequest &request, ConnectionPool &pool, Hooks hooks);

    /// Sends each attempt to the next of the endpoints, the first one to index `firstIndex` modulo their number.
    /// Latencies count from `planned`, the planned send time. Precondition: there is an endpoint.
    boost::asio::awaitable<RequestRecord> run(const std::vector<Endpoint> &endpoints, std::size_t firstIndex,
                                              bool direct, TimePoint planned);

private:
    /// What the task does after an attempt.
    enum class Next {
        Finish,
        /// Sends again to the same endpoint at once; the attempt does not count.
        RetryNow,
        /// Sends to the next endpoint after a wait, if an attempt is left.
        RetryLater,
    };

    boost::asio::awaitable<Next> attempt(const Endpoint &endpoint);
    boost::asio::awaitable<Next> exchange(HttpConnection &connection);
    boost::asio::awaitable<Next> readAnswer(HttpConnection &connection, HttpResponse head);
    Next handleErrorResponse(const HttpResponse &response);
    Next handleBrokenConnection(const HttpError &error);
    void recordAnswer(const class AnswerReader &reader);
    void recordServiceAnswer(const std::string &body);
    [[nodiscard]] HttpRequest httpRequest() const;
    /// Whether the settings allow a request that may have run to be sent again.
    [[nodiscard]] bool mayResend() const;

    const LoadSettings &m_settings;
    const TracedRequest &m_request;
    ConnectionPool &m_pool;
    Hooks m_hooks;
    RequestRecord m_record;
    TimePoint m_planned;
    milliseconds m_retryAfter{0};
    /// Error code of the last broken connection.
    std::string m_connectionErrorCode;
};

} // namespace tamarackcove
