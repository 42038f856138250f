#include "tamarackcove/Http/CallerWatch.h"

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Http/HttpConnection.h"
#include "tamarackcove/Http/HttpResponder.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

// A request whose caller has gone occupies an engine for at most this long.
static constexpr milliseconds SweepInterval{200};

CallerWatch::Watched::Watched(CallerWatch &watch, const HttpResponder &responder)
    : m_watch(watch)
    , m_responder(responder)
{
    if (m_watch.m_watched.empty()) {
        m_watch.m_timer.cancel();
    }
    m_watch.m_watched.insert(this);
}

CallerWatch::Watched::~Watched()
{
    m_watch.m_watched.erase(this);
}

bool CallerWatch::Watched::gone() const
{
    return m_gone;
}

CallerWatch::CallerWatch(asio::any_io_executor executor)
    : m_timer(executor, TimePoint::max())
{
}

asio::awaitable<void> CallerWatch::run()
{
    while (true) {
        boost::system::error_code ignored;
        if (m_watched.empty()) {
            m_timer.expires_at(TimePoint::max());
            co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        asio::steady_timer pause(co_await asio::this_coro::executor, SweepInterval);
        co_await pause.async_wait(asio::use_awaitable);
        sweep();
    }
}

void CallerWatch::sweep()
{
    for (auto *watched : m_watched) {
        if (watched->m_gone || !watched->m_responder.callerGone()) {
            continue;
        }
        watched->m_gone = true;
        if (watched->connection != nullptr) {
            watched->connection->close();
        }
        if (watched->timer != nullptr) {
            watched->timer->cancel();
        }
    }
}

std::size_t CallerWatch::size() const
{
    return m_watched.size();
}

} // namespace tamarackcove
