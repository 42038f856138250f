#pragma once

#include "Deployment.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <string>
#include <utility>

namespace tamarackcove::test {

/// How a server ends its connection after the bytes of its answer.
enum class Ending {
    Close,
    Reset,
    /// Ends the answer in order, and resets the connection because bytes of the request were not read.
    CloseThenReset,
};

inline void endConnection(boost::asio::ip::tcp::socket &socket, Ending ending)
{
    using Socket = boost::asio::ip::tcp::socket;
    boost::system::error_code ignored;
    if (ending == Ending::CloseThenReset) {
        socket.shutdown(Socket::shutdown_send, ignored);
    }
    if (ending != Ending::Close) {
        socket.set_option(Socket::linger(true, 0), ignored);
    }
    // The destructor would undo the option and close the connection in order.
    socket.close(ignored);
}

/// A server that has `answer` write the reply to each request "cut" and end its connection. `answer` is called when the
/// head of the request has been read. Other requests get a whole answer.
///
/// Thread safety: used on the thread of the executor.
class RawServer
{
public:
    using Answer = std::function<boost::asio::awaitable<void>(boost::asio::ip::tcp::socket &)>;

    RawServer(const boost::asio::any_io_executor &executor, std::string service, Answer answer)
        : m_service(std::move(service))
        , m_answer(std::move(answer))
        , m_acceptor(executor, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
        boost::asio::co_spawn(executor, accept(), boost::asio::detached);
    }

    [[nodiscard]] nlohmann::json heartbeat() const
    {
        return singleHeartbeat(m_service, m_acceptor.local_endpoint().port(), modelsWithoutAdapters());
    }
    void close()
    {
        m_acceptor.close();
    }
    /// Limits the bytes of a request that the kernel accepts before the server reads them.
    void setReceiveBuffer(int bytes)
    {
        m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(bytes));
    }

    /// Number of answers to the request "cut".
    int answers = 0;
    /// The bytes that answer a read of the state, if set.
    std::string report;

protected:
    static constexpr auto UseTuple = boost::asio::as_tuple(boost::asio::use_awaitable);

private:
    boost::asio::awaitable<void> accept()
    {
        for (;;) {
            auto [error, socket] = co_await m_acceptor.async_accept(UseTuple);
            if (error) {
                co_return;
            }
            boost::asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket)
    {
        std::string received;
        for (;;) {
            // Only the request "cut" may have a body.
            const auto [error, headBytes] = co_await boost::asio::async_read_until(
                socket, boost::asio::dynamic_buffer(received), "\r\n\r\n", UseTuple);
            if (error) {
                co_return;
            }
            const auto head = received.substr(0, headBytes);
            received.erase(0, headBytes);
            if (head.find("Tamarackcove-Attempt-Id: cut\r\n") != std::string::npos) {
                ++answers;
                co_await m_answer(socket);
                co_return;
            }
            const bool isRead = head.find("/v1/report") != std::string::npos;
            const auto whole = isRead && !report.empty() ? report : wholeAnswer(head);
            (void)co_await boost::asio::async_write(socket, boost::asio::buffer(whole), UseTuple);
        }
    }

    static std::string wholeAnswer(const std::string &head)
    {
        static const std::string IdField = "Tamarackcove-Attempt-Id: ";
        std::string fields;
        if (const auto at = head.find(IdField); at != std::string::npos) {
            fields = head.substr(at, head.find("\r\n", at) + 2 - at) + "Tamarackcove-Server-Seal: seal\r\n";
        }
        const std::string body = head.find("/v1/report") == std::string::npos
            ? "whole"
            : R"({"born":1,"seq":0,"models":[{"name":"m","version":1,"adapters":[]}]})";
        return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    std::string m_service;
    Answer m_answer;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

} // namespace tamarackcove::test
