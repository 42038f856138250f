#pragma once

#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <set>

namespace tamarackcove {

class HttpConnection;
class HttpResponder;

/// Detects callers that disconnect while their request is in progress, and cancels what the request waits for.
///
/// One task checks the caller connections of all requests periodically, because a pending read on each connection
/// would need a second task for each request.
/// Thread safety: used on the thread of the executor.
class CallerWatch
{
public:
    /// Registers a request with the watch for as long as the object exists.
    /// Precondition: the watch and the responder outlive this object.
    class WatchedRequest
    {
    public:
        WatchedRequest(CallerWatch &watch, const HttpResponder &responder);
        ~WatchedRequest();
        WatchedRequest(const WatchedRequest &) = delete;
        WatchedRequest &operator=(const WatchedRequest &) = delete;

        /// What the request waits for, set by its coroutine: a read on `connection`, which the watch closes when the
        /// caller has disconnected, or `timer`, which the watch then cancels; interruptRequests() does the same. Each
        /// is null while the request does not wait for it.
        HttpConnection *connection = nullptr;
        Timer *timer = nullptr;

        /// Whether the last check found that the caller has disconnected.
        [[nodiscard]] bool isCallerGone() const;

    private:
        friend class CallerWatch;
        void interrupt();

        CallerWatch &m_watch;
        const HttpResponder &m_responder;
        bool m_callerGone = false;
    };

    explicit CallerWatch(boost::asio::any_io_executor executor);

    /// Checks the caller connections periodically until cancelled; suspended while no request is in progress.
    boost::asio::awaitable<void> run();

    /// Interrupts what the requests in progress wait for: closes their connections to servers and cancels their timers.
    /// Does not count their callers as gone.
    void interruptRequests();

    /// The number of requests in progress.
    [[nodiscard]] std::size_t size() const;

private:
    void checkCallers();

    std::set<WatchedRequest *> m_watchedRequests;
    /// Suspends run() while no request is in progress. Never expires; the first request cancels it.
    Timer m_timer;
};

} // namespace tamarackcove
