#include "tamarackcove/Entry/Callers/LoadWaitResponder.h"

#include <charconv>
#include <string>
#include <utility>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr std::string_view LoadWaitHeader = "x-tamarackcove-load-wait-ms";

LoadWaitResponder::LoadWaitResponder(HttpResponder &responder)
    : m_responder(responder)
{
}

void LoadWaitResponder::addWait(Duration waited)
{
    m_localWait += waited;
}

Duration LoadWaitResponder::localWait() const
{
    return m_localWait;
}

void LoadWaitResponder::addHeader(HttpResponse &response) const
{
    std::int64_t totalMs = duration_cast<milliseconds>(m_localWait).count();
    if (const auto reported = response.headers.find(LoadWaitHeader)) {
        std::uint32_t forwardedMs = 0;
        std::from_chars(reported->data(), reported->data() + reported->size(), forwardedMs);
        totalMs += forwardedMs;
    }
    response.headers.set(LoadWaitHeader, std::to_string(totalMs));
}

asio::awaitable<Result<void, HttpError>> LoadWaitResponder::send(HttpResponse response)
{
    addHeader(response);
    return m_responder.send(std::move(response));
}

asio::awaitable<Result<void, HttpError>> LoadWaitResponder::beginStream(HttpResponse head)
{
    addHeader(head);
    return m_responder.beginStream(std::move(head));
}

asio::awaitable<Result<void, HttpError>> LoadWaitResponder::writePiece(std::string_view piece)
{
    return m_responder.writePiece(piece);
}

asio::awaitable<Result<void, HttpError>> LoadWaitResponder::endStream()
{
    return m_responder.endStream();
}

bool LoadWaitResponder::started() const
{
    return m_responder.started();
}

bool LoadWaitResponder::callerGone() const
{
    return m_responder.callerGone();
}

std::uint64_t LoadWaitResponder::connectionNumber() const
{
    return m_responder.connectionNumber();
}

} // namespace tamarackcove
