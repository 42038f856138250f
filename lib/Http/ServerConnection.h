#pragma once

#include "HttpServerImpl.h"
#include "TimedSocket.h"
#include "tamarackcove/Http/HttpRequest.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Http/MemoryAccount.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <string>
#include <string_view>
#include <utility>

namespace tamarackcove {

/// One caller connection. Reads requests one after the other and has the handler answer each, until either side closes
/// the connection.
class ServerConnection final : public HttpResponder
{
public:
    ServerConnection(HttpServer::Impl &server, boost::asio::ip::tcp::socket socket, std::uint64_t number)
        : m_server(server)
        , m_socket(std::move(socket))
        , m_connectionNumber(number)
        , m_account(*server.budget, [this](MemoryAccount::Loss loss) { giveUp(loss); })
    {
        m_socket.setNonBlocking();
        m_server.open.insert(this);
    }
    ~ServerConnection() override
    {
        m_server.open.erase(this);
    }
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    /// Counts the connection in the budget of the server. Returns false if there is no room for it.
    [[nodiscard]] bool admit();
    /// Precondition: admit() has returned true.
    boost::asio::awaitable<void> run();
    /// Closes the connection unless a request is in progress or has begun to arrive. A connection on which no request
    /// was answered yet stays open unless `includeNew` is set.
    void closeIfIdle(bool includeNew);

    boost::asio::awaitable<Result<void, HttpError>> send(HttpResponse response) override;
    boost::asio::awaitable<Result<void, HttpError>> beginStream(HttpResponse head) override;
    boost::asio::awaitable<Result<void, HttpError>> writePiece(std::string_view piece) override;
    boost::asio::awaitable<Result<void, HttpError>> endStream() override;
    [[nodiscard]] bool started() const override
    {
        return m_responseStarted;
    }
    [[nodiscard]] bool callerGone() const override;
    [[nodiscard]] std::uint64_t connectionNumber() const override
    {
        return m_connectionNumber;
    }

private:
    /// Reads until the buffer holds a whole head, and returns the size of the head.
    boost::asio::awaitable<Result<std::size_t, HttpError>> readHead();
    boost::asio::awaitable<bool> readRequest(HttpRequest &request);
    using RequestParser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;
    /// Reads the body after the head that the parser has parsed. Sets m_bodyShed and fails if the budget has no room.
    boost::asio::awaitable<Result<void, HttpError>> readBody(RequestParser &parser, std::string &body);
    /// Passes buffered bytes to the parser, which appends the part of the body in them. The error is need_more if the
    /// parser needs further bytes from the socket.
    Result<void, HttpError> parseBuffered(RequestParser &parser, std::string &body, boost::system::error_code &error);
    /// Enlarges the capacity to this size at least, within the budget. Returns false if the budget has no room.
    [[nodiscard]] bool reserveBody(std::string &body, std::size_t size, std::size_t announced);
    /// Frees what the budget has shed.
    void giveUp(MemoryAccount::Loss loss);
    boost::asio::awaitable<void> answer(const HttpRequest &request);
    boost::asio::awaitable<void> rejectUnreadable(HttpError error);
    /// Refuses a request that was not passed on, and closes the connection.
    boost::asio::awaitable<void> refuse(int status, std::string_view message, std::string_view code);
    /// Reads what the caller still sends after the last response, for a limited time. A connection that is closed with
    /// unread bytes is reset, and the caller may then not get the response.
    boost::asio::awaitable<void> discardUnread();
    [[nodiscard]] std::string_view bufferedBytes() const
    {
        return {static_cast<const char *>(m_buffer.data().data()), m_buffer.size()};
    }
    boost::asio::awaitable<Result<void, HttpError>> writeAll(std::string_view bytes, std::string_view more = {});
    /// Waits until the caller has accepted the rest of a message, which is counted in the budget meanwhile.
    boost::asio::awaitable<Result<void, HttpError>> writeSlowly(std::string_view bytes, std::string_view more);
    [[nodiscard]] std::string headText(const HttpResponse &response, std::string_view framing) const;
    /// Whether closing the connection of an HTTP/1.0 caller resets it. No effect with later versions.
    void setResetOnClose(bool reset);

    HttpServer::Impl &m_server;
    TimedSocket m_socket;
    /// Holds one encoded chunk; a member so that its memory is reused for the next piece.
    std::string m_chunk;
    std::uint64_t m_connectionNumber;
    MemoryAccount m_account;
    /// The body that is being read; null while none is.
    std::string *m_incomingBody = nullptr;
    /// Whether the budget had no room for the body that is being read.
    bool m_bodyShed = false;
    /// Whether the answer that is being written is the whole response, so that its request has ended.
    bool m_wholeAnswer = false;
    boost::beast::flat_buffer m_buffer;
    bool m_responseStarted = false;
    bool m_streaming = false;
    bool m_streamEnded = false;
    bool m_keepAlive = true;
    /// Whether the head of the last response had `connection: close`.
    mutable bool m_closeSent = false;
    bool m_busy = false;
    /// Whether bytes of a request have been read that is not answered yet.
    bool m_requestBegun = false;
    bool m_isNew = true;
    /// The version and the method of the last request decide how its response is framed.
    bool m_isHttp10 = false;
    bool m_isHead = false;
};

} // namespace tamarackcove
