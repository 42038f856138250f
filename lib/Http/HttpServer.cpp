#include "tamarackcove/Http/HttpServer.h"

#include "HttpServerImpl.h"
#include "ServerConnection.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Supervision/Listening.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <fmt/format.h>
#include <utility>

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace tamarackcove {

static constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

/// Shortest time between two log lines about what clients have lost. There can be thousands of losses a second.
static constexpr milliseconds LossLogInterval{1000};
/// How long a connection that has sent nothing yet when the server begins to drain may take to begin its request. Its
/// caller has just opened it for one.
static constexpr milliseconds FirstRequestDrainTime{500};

void HttpServer::Impl::startConnection(tcp::socket socket)
{
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto shared = std::make_shared<tcp::socket>(std::move(socket));
    const auto number = ++accepted;
    connections.startTemporary(fmt::format("connection-{}", number), [this, shared, number]() -> asio::awaitable<void> {
        ServerConnection connection(*this, std::move(*shared), number);
        if (connection.admit()) {
            co_await connection.run();
        }
    });
}

void HttpServer::Impl::acceptQueued()
{
    beast::error_code error;
    acceptor.non_blocking(true, error);
    for (auto count = open.size(); !error && count < limits.maxConnections; ++count) {
        tcp::socket socket(connections.executor());
        acceptor.accept(socket, error);
        if (!error) {
            startConnection(std::move(socket));
        }
    }
}

void HttpServer::Impl::logLoss(std::string_view what, std::uint64_t connection, std::size_t bytes, TimePoint since)
{
    const auto now = Clock::now();
    if (now < lossLoggedAt + LossLogInterval) {
        ++unloggedLosses;
        return;
    }
    lossLoggedAt = now;
    LogLine(LogLevel::Warning, "client_shed")
        .add("what", what)
        .add("connection", connection)
        .add("bytes", static_cast<std::uint64_t>(bytes))
        .add("age_ms", duration_cast<milliseconds>(now - since))
        .add("held_bytes", static_cast<std::uint64_t>(budget->bytes()))
        .add("max_bytes", static_cast<std::uint64_t>(budget->limits().bytes))
        .add("connections", static_cast<std::uint64_t>(budget->connections()))
        .add("max_connections", static_cast<std::uint64_t>(budget->limits().connections))
        .add("unlogged", std::exchange(unloggedLosses, 0));
}

HttpServer::HttpServer(Supervisor &connections, HttpLimits limits, Handler handler,
                       std::shared_ptr<MemoryBudget> budget)
    : m_impl(
        std::make_unique<Impl>(connections, limits, std::move(handler),
                               budget ? std::move(budget) : std::make_shared<MemoryBudget>(MemoryBudget::Limits())))
{
}

HttpServer::~HttpServer() = default;

Result<void, HttpError> HttpServer::listen(const Endpoint &endpoint)
{
    auto error = listenOn(m_impl->acceptor, endpoint);
    if (!error && m_impl->budget->limits().boundsSockets) {
        // Accepted connections inherit the sizes of the buffers. Listening again only changes the backlog.
        m_impl->acceptor.set_option(asio::socket_base::receive_buffer_size(MemoryBudget::SocketBufferBytes), error);
        m_impl->acceptor.set_option(asio::socket_base::send_buffer_size(MemoryBudget::SocketBufferBytes), error);
        m_impl->acceptor.listen(MemoryBudget::ListenBacklog, error);
    }
    if (error) {
        return HttpError{HttpErrorCode::ConnectFailed,
                         "cannot listen on " + endpoint.toString() + ": " + error.message()};
    }
    return ok();
}

asio::awaitable<void> HttpServer::run()
{
    auto &impl = *m_impl;
    constexpr milliseconds AcceptRetryDelay{20};
    while (impl.acceptor.is_open()) {
        auto [error, socket] = co_await impl.acceptor.async_accept(UseTuple);
        if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
            break;
        }
        if (error || impl.open.size() >= impl.limits.maxConnections) {
            // The process has no file descriptors left, or the connection limit is reached, in which case `socket`
            // closes the accepted connection. The pause keeps a persistent error from becoming a busy loop.
            LogLine(LogLevel::Warning, "connection_refused").add("open", static_cast<std::uint64_t>(impl.open.size()));
            Timer pause(impl.connections.executor(), AcceptRetryDelay);
            co_await pause.async_wait(asio::use_awaitable);
            continue;
        }
        impl.startConnection(std::move(socket));
    }
}

void HttpServer::setLimits(HttpLimits limits)
{
    m_impl->limits = limits;
}

void HttpServer::setCloseAfterResponse(bool closeAfterResponse)
{
    m_impl->closeAfterResponse = closeAfterResponse;
}

void HttpServer::beginDrain()
{
    auto &impl = *m_impl;
    if (std::exchange(impl.draining, true)) {
        return;
    }
    impl.acceptQueued();
    beast::error_code ignored;
    impl.acceptor.close(ignored);
    for (auto *connection : impl.open) {
        connection->closeIfIdle(false);
    }
    impl.connections.startTemporary("drain", [&impl]() -> asio::awaitable<void> {
        Timer timer(impl.connections.executor(), FirstRequestDrainTime);
        co_await timer.async_wait(asio::use_awaitable);
        for (auto *connection : impl.open) {
            connection->closeIfIdle(true);
        }
    });
}

std::uint16_t HttpServer::port() const
{
    return m_impl->acceptor.local_endpoint().port();
}

std::size_t HttpServer::openConnections() const
{
    return m_impl->open.size();
}

std::uint64_t HttpServer::acceptedConnections() const
{
    return m_impl->accepted;
}

std::size_t HttpServer::busyConnections() const
{
    return m_impl->busy;
}

} // namespace tamarackcove
