#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Http/HttpError.h"
#include "tamarackcove/Http/HttpResponse.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string_view>

namespace tamarackcove {

/// Writes the response of one request: either one whole response, or a head and then pieces.
///
/// Thread safety: used on the thread of its connection, by one coroutine.
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;

    /// Precondition: nothing was written for this request.
    virtual boost::asio::awaitable<Result<void, HttpError>> send(HttpResponse response) = 0;

    /// Starts a chunked response. Precondition: nothing was written for this request.
    virtual boost::asio::awaitable<Result<void, HttpError>> beginStream(HttpResponse head) = 0;
    /// Precondition: beginStream() has succeeded and endStream() was not called; the piece is not empty.
    virtual boost::asio::awaitable<Result<void, HttpError>> writePiece(std::string_view piece) = 0;
    virtual boost::asio::awaitable<Result<void, HttpError>> endStream() = 0;

    /// Whether any byte of a response was written.
    [[nodiscard]] virtual bool started() const = 0;
    /// Whether the caller has closed its side; checked without waiting.
    [[nodiscard]] virtual bool callerGone() const = 0;
    /// The number of the connection, in the order in which the server accepted them; 0 outside a server.
    [[nodiscard]] virtual std::uint64_t connectionNumber() const
    {
        return 0;
    }
};

} // namespace tamarackcove
