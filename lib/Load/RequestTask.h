#pragma once

#include "ConnectionPool.h"
#include "tamarackcove/Load/LoadSettings.h"
#include "tamarackcove/Load/LoadSummary.h"

#include <boost/asio/awaitable.hpp>
#include <functional>

namespace tamarackcove {

/// Sends one request of a trace, as often as the settings allow, and records how it went.
///
/// Thread safety: used on one thread, by one coroutine.
class RequestTask
{
public:
    struct Hooks
    {
        /// Called for every error response, error event and broken connection.
        std::function<void(const std::string &code)> onError;
    };

    /// Precondition: what is referred to outlives this object.
    RequestTask(const LoadSettings &settings, const TracedRequest &request, ConnectionPool &pool, Hooks hooks);

    /// Sends to these endpoints in turn, beginning at `first`. `planned` is when the request was to start.
    boost::asio::awaitable<RequestRecord> run(const std::vector<Endpoint> &endpoints, std::size_t first, bool direct,
                                              TimePoint planned);

private:
    enum class Next {
        Finish,
        RetryNow,
        RetryLater,
    };

    boost::asio::awaitable<Next> attempt(const Endpoint &endpoint);
    boost::asio::awaitable<Next> exchange(HttpConnection &connection);
    boost::asio::awaitable<Next> readAnswer(HttpConnection &connection, HttpResponse head);
    Next refused(const HttpResponse &response);
    Next broken(const HttpError &error);
    void judge(const class AnswerReader &reader);
    void judgeService(const std::string &body);
    [[nodiscard]] HttpRequest httpRequest() const;
    [[nodiscard]] bool mayResend() const;

    const LoadSettings &m_settings;
    const TracedRequest &m_request;
    ConnectionPool &m_pool;
    Hooks m_hooks;
    RequestRecord m_record;
    TimePoint m_planned;
    milliseconds m_retryAfter{0};
    std::string m_brokenBy;
};

} // namespace tamarackcove
