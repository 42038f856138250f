#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Http/HttpError.h"
#include "tamarackcove/Http/HttpResponse.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string_view>

namespace tamarackcove {

/// Writes the response to one request: either a whole response, or a head followed by pieces of the body.
///
/// Thread safety: used on the thread of its connection, by one coroutine.
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;

    /// Writes a whole response. Precondition: no response was started for this request.
    virtual boost::asio::awaitable<Result<void, HttpError>> send(HttpResponse response) = 0;

    /// Writes the head of a chunked response. Precondition: no response was started for this request.
    virtual boost::asio::awaitable<Result<void, HttpError>> beginStream(HttpResponse head) = 0;
    /// Writes a part of the body. Precondition: beginStream() has succeeded, endStream() was not called, and the piece
    /// is not empty.
    virtual boost::asio::awaitable<Result<void, HttpError>> writePiece(std::string_view piece) = 0;
    /// Writes the last chunk. A response without it is incomplete for the caller.
    /// Precondition: beginStream() has succeeded and endStream() was not called.
    virtual boost::asio::awaitable<Result<void, HttpError>> endStream() = 0;

    /// Whether send() or beginStream() was called for this request.
    [[nodiscard]] virtual bool started() const = 0;
    /// Whether the caller has closed its side of the connection. Does not wait.
    [[nodiscard]] virtual bool callerGone() const = 0;
    /// The number of the connection: the server counts accepted connections from 1. 0 without a server.
    [[nodiscard]] virtual std::uint64_t connectionNumber() const
    {
        return 0;
    }
};

} // namespace tamarackcove
