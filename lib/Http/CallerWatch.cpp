#include "tamarackcove/Http/CallerWatch.h"

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Http/HttpConnection.h"
#include "tamarackcove/Http/HttpResponder.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

// Bounds the time for which a request occupies an engine after its caller has disconnected.
static constexpr milliseconds CheckInterval{200};

CallerWatch::WatchedRequest::WatchedRequest(CallerWatch &watch, const HttpResponder &responder)
    : m_watch(watch)
    , m_responder(responder)
{
    if (m_watch.m_watchedRequests.empty()) {
        m_watch.m_timer.cancel();
    }
    m_watch.m_watchedRequests.insert(this);
}

CallerWatch::WatchedRequest::~WatchedRequest()
{
    m_watch.m_watchedRequests.erase(this);
}

bool CallerWatch::WatchedRequest::isCallerGone() const
{
    return m_callerGone;
}

void CallerWatch::WatchedRequest::interrupt()
{
    if (connection != nullptr) {
        connection->close();
    }
    if (timer != nullptr) {
        timer->cancel();
    }
}

CallerWatch::CallerWatch(asio::any_io_executor executor)
    : m_timer(executor, TimePoint::max())
{
}

asio::awaitable<void> CallerWatch::run()
{
    while (true) {
        boost::system::error_code ignored;
        if (m_watchedRequests.empty()) {
            m_timer.expires_at(TimePoint::max());
            co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        Timer pause(co_await asio::this_coro::executor, CheckInterval);
        co_await pause.async_wait(asio::use_awaitable);
        checkCallers();
    }
}

void CallerWatch::checkCallers()
{
    for (auto *watched : m_watchedRequests) {
        if (watched->m_callerGone || !watched->m_responder.callerGone()) {
            continue;
        }
        watched->m_callerGone = true;
        watched->interrupt();
    }
}

void CallerWatch::interruptRequests()
{
    for (auto *watched : m_watchedRequests) {
        watched->interrupt();
    }
}

std::size_t CallerWatch::size() const
{
    return m_watchedRequests.size();
}

} // namespace tamarackcove
