#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>

namespace tamarackcove {

class HttpConnection;
class HttpResponder;

/// Notices callers that have gone while their request waits, and wakes the request up.
///
/// One task looks at all requests, as a read on each caller connection beside its request would need a second task.
/// Thread safety: used on the thread of the executor.
class CallerWatch
{
public:
    /// One request while it is in progress.
    class Watched
    {
    public:
        Watched(CallerWatch &watch, const HttpResponder &responder);
        ~Watched();
        Watched(const Watched &) = delete;
        Watched &operator=(const Watched &) = delete;

        /// What the request waits on: a read of this connection, or this timer. Null when it does not wait.
        HttpConnection *connection = nullptr;
        boost::asio::steady_timer *timer = nullptr;

        [[nodiscard]] bool gone() const;

    private:
        friend class CallerWatch;
        CallerWatch &m_watch;
        const HttpResponder &m_responder;
        bool m_gone = false;
    };

    explicit CallerWatch(boost::asio::any_io_executor executor);

    /// Looks after the callers until cancelled; does nothing while there are no requests.
    boost::asio::awaitable<void> run();

    [[nodiscard]] std::size_t size() const;

private:
    void sweep();

    std::set<Watched *> m_watched;
    /// Never expires while there are no requests; cancelled at the first.
    boost::asio::steady_timer m_timer;
};

} // namespace tamarackcove
