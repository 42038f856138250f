#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Http/HttpResponder.h"

namespace tamarackcove {

/// Adds `x-tamarackcove-load-wait-ms` to the response of one request: how long the request waited for adapter loads at
/// this entry and at the entry that it was forwarded to.
///
/// Thread safety: used on one thread, by one coroutine.
class LoadWaitResponder : public HttpResponder
{
public:
    /// Precondition: the responder outlives this object.
    explicit LoadWaitResponder(HttpResponder &responder);

    /// Adds the time that the request waited at this entry for one adapter load to the sum of its waits here.
    /// Precondition: the response was not started.
    void addWait(Duration waited);
    /// The total time that the request waited for adapter loads at this entry.
    [[nodiscard]] Duration localWait() const;

    boost::asio::awaitable<Result<void, HttpError>> send(HttpResponse response) override;
    boost::asio::awaitable<Result<void, HttpError>> beginStream(HttpResponse head) override;
    boost::asio::awaitable<Result<void, HttpError>> writePiece(std::string_view piece) override;
    boost::asio::awaitable<Result<void, HttpError>> endStream() override;
    [[nodiscard]] bool started() const override;
    [[nodiscard]] bool callerGone() const override;
    [[nodiscard]] std::uint64_t connectionNumber() const override;

private:
    void addHeader(HttpResponse &response) const;

    HttpResponder &m_responder;
    Duration m_localWait{0};
};

} // namespace tamarackcove
