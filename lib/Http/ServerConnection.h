#pragma once

#include "HttpServerImpl.h"
#include "TimedSocket.h"
#include "tamarackcove/Http/HttpRequest.h"
#include "tamarackcove/Http/HttpResponder.h"

#include <boost/beast/core/flat_buffer.hpp>
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
    boost::asio::awaitable<void> answer(const HttpRequest &request);
    boost::asio::awaitable<void> rejectUnreadable(HttpError error);
    /// Reads what the caller still sends after the last response, for a limited time. A connection that is closed with
    /// unread bytes is reset, and the caller may then not get the response.
    boost::asio::awaitable<void> discardUnread();
    [[nodiscard]] std::string_view bufferedBytes() const
    {
        return {static_cast<const char *>(m_buffer.data().data()), m_buffer.size()};
    }
    boost::asio::awaitable<Result<void, HttpError>> writeAll(std::string_view bytes);
    [[nodiscard]] std::string headText(const HttpResponse &response, std::string_view framing) const;
    /// Whether closing the connection of an HTTP/1.0 caller resets it. No effect with later versions.
    void setResetOnClose(bool reset);

    HttpServer::Impl &m_server;
    TimedSocket m_socket;
    /// Holds one encoded chunk; a member so that its memory is reused for the next piece.
    std::string m_chunk;
    std::uint64_t m_connectionNumber;
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
