#include "HttpConversion.h"
#include "ServerConnection.h"
#include "tamarackcove/Http/HttpConnection.h"

#include <algorithm>
#include <boost/beast/http.hpp>
#include <fmt/format.h>
#include <tuple>
#include <utility>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace tamarackcove {

static constexpr std::size_t BodyReadSize = 16 * 1024;

asio::awaitable<Result<void, HttpError>> ServerConnection::readBody(RequestParser &parser, std::string &body)
{
    parser.eager(true);
    bool waited = false;
    for (;;) {
        beast::error_code error = http::error::need_more;
        if (m_buffer.size() > 0) {
            BOOST_OUTCOME_CO_TRY(parseBuffered(parser, body, error));
        }
        if (parser.is_done()) {
            co_return ok();
        }
        if (!error) {
            continue;
        }
        if (!std::exchange(waited, true)) {
            m_socket.expireAfter(m_server.limits.requestTimeout);
        }
        std::size_t count = 0;
        std::tie(error, count) = co_await m_socket.readSome(m_buffer.prepare(BodyReadSize));
        if (m_bodyShed) {
            co_return HttpError{HttpErrorCode::Closed, "the body was shed"};
        }
        if (error == asio::error::eof) {
            co_return HttpError{HttpErrorCode::Malformed, "an incomplete body"};
        }
        if (error) {
            co_return toHttpError(m_socket.translateError(error));
        }
        m_buffer.commit(count);
    }
}

Result<void, HttpError> ServerConnection::parseBuffered(RequestParser &parser, std::string &body,
                                                        beast::error_code &error)
{
    const auto announced = parser.content_length();
    const auto at = body.size();
    // The decoded body is never longer than its chunked encoding.
    const auto room = announced ? static_cast<std::size_t>(std::min<std::uint64_t>(m_buffer.size(), *announced - at))
                                : m_buffer.size();
    if (!reserveBody(body, at + room, announced ? static_cast<std::size_t>(*announced) : 0)) {
        m_server.logLoss("body_refused", m_connectionNumber, at, m_account.since());
        m_bodyShed = true;
        return HttpError{HttpErrorCode::TooLarge, "no memory is left for the request"};
    }
    body.resize(at + room);
    auto &piece = parser.get().body();
    piece.data = body.data() + at;
    piece.size = room;
    piece.more = true;
    error = {};
    m_buffer.consume(parser.put(m_buffer.data(), error));
    body.resize(at + room - piece.size);
    if (error == http::error::need_buffer) {
        error = {};
    }
    if (error && error != http::error::need_more) {
        return toHttpError(error);
    }
    // The bytes that the parser leaves behind are an incomplete size line of a chunk or an incomplete trailer. The
    // parser itself sets no limit on them.
    if (error && m_buffer.size() > HttpConnection::MaxChunkFramingBytes) {
        return HttpError{HttpErrorCode::TooLarge,
                         fmt::format("chunk framing of more than {} bytes", HttpConnection::MaxChunkFramingBytes)};
    }
    return ok();
}

bool ServerConnection::reserveBody(std::string &body, std::size_t size, std::size_t announced)
{
    if (size <= body.capacity()) {
        return true;
    }
    // An announced length is not reserved at once: most clients that announce a long body and stop never send it.
    auto capacity = std::max(size, 2 * body.capacity());
    if (announced > 0) {
        capacity = announced <= MemoryBudget::SmallBodyBytes ? announced : std::min(capacity, announced);
    }
    if (capacity > MemoryBudget::SmallBodyBytes && !m_account.resize(capacity)) {
        return false;
    }
    // Not std::string::reserve() of the body itself, which may allocate more than asked for.
    std::string larger;
    larger.reserve(capacity);
    larger.append(body);
    body.swap(larger);
    return true;
}

} // namespace tamarackcove
