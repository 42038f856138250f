#pragma once

#include "Deployment.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <string>

namespace tamarackcove::test {

/// What a faulty server sends: a beginning once, and then the same bytes without end.
struct EndlessBytes
{
    /// Follows the status line and the fields that make the answer one of its server, if `hasHead` is set.
    std::string beginning;
    std::string repeated;
    bool hasHead = true;
};

/// A server that sends bytes without end where the path of a request holds "endless", until the connection is closed,
/// and answers other requests. Reads of its state are answered without end if `endlessReport` is set.
///
/// Thread safety: used on the thread of the executor.
class EndlessServer
{
public:
    EndlessServer(const boost::asio::any_io_executor &executor, std::string id, std::string service, EndlessBytes bytes)
        : m_id(std::move(id))
        , m_service(std::move(service))
        , m_bytes(std::move(bytes))
        , m_acceptor(executor, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
        // One write is as long as what a reader takes at a time, however short the repeated bytes are.
        constexpr std::size_t MinWriteBytes = 64 * 1024;
        const auto unit = m_bytes.repeated;
        while (m_bytes.repeated.size() < MinWriteBytes) {
            m_bytes.repeated += unit;
        }
        boost::asio::co_spawn(executor, accept(), boost::asio::detached);
    }

    [[nodiscard]] const std::string &id() const
    {
        return m_id;
    }
    [[nodiscard]] nlohmann::json heartbeat() const
    {
        return singleHeartbeat(m_service, m_acceptor.local_endpoint().port(), modelsWithoutAdapters());
    }
    void close()
    {
        m_acceptor.close();
        m_closed = true;
    }

    bool endlessReport = false;
    std::size_t sentBytes = 0;

private:
    boost::asio::awaitable<void> accept()
    {
        for (;;) {
            auto [error, socket] = co_await m_acceptor.async_accept(boost::asio::as_tuple(boost::asio::use_awaitable));
            if (error) {
                co_return;
            }
            boost::asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket)
    {
        constexpr auto UseTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
        constexpr std::string_view Id = "Tamarackcove-Attempt-Id: ";
        std::string received;
        for (;;) {
            const auto [error, size] = co_await boost::asio::async_read_until(
                socket, boost::asio::dynamic_buffer(received), "\r\n\r\n", UseTuple);
            if (error) {
                co_return;
            }
            const auto head = received.substr(0, size);
            received.clear();
            std::string ownFields = "Tamarackcove-Server-Seal: seal\r\n";
            if (const auto at = head.find(Id); at != std::string::npos) {
                ownFields += head.substr(at, head.find("\r\n", at) + 2 - at);
            }
            const bool report = head.find("/v1/report") != std::string::npos;
            if (head.find("endless") != std::string::npos || (report && endlessReport)) {
                std::string beginning = m_bytes.hasHead ? "HTTP/1.1 200 OK\r\n" + ownFields : std::string();
                beginning += m_bytes.beginning;
                co_await sendWithoutEnd(socket, std::move(beginning));
                co_return;
            }
            const std::string body = report
                ? nlohmann::json{{"born", 1}, {"models", modelsWithoutAdapters()}, {"busy", false}, {"seq", 0}}.dump()
                : m_service == "engines" ? "id: 1\ndata: x\n\n"
                                         : "whole";
            const std::string type = m_service == "engines" && !report ? "Content-Type: text/event-stream\r\n" : "";
            std::string answer = "HTTP/1.1 200 OK\r\n" + ownFields;
            answer.append(type).append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n");
            answer += body;
            const auto [writeError, written]
                = co_await boost::asio::async_write(socket, boost::asio::buffer(answer), UseTuple);
            if (writeError) {
                co_return;
            }
        }
    }

    boost::asio::awaitable<void> sendWithoutEnd(boost::asio::ip::tcp::socket &socket, std::string beginning)
    {
        constexpr auto UseTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
        auto [error, written] = co_await boost::asio::async_write(socket, boost::asio::buffer(beginning), UseTuple);
        while (!error && !m_closed) {
            std::tie(error, written)
                = co_await boost::asio::async_write(socket, boost::asio::buffer(m_bytes.repeated), UseTuple);
            sentBytes += written;
            // Lets the other tasks of this thread run also while the kernel accepts all bytes.
            co_await boost::asio::post(socket.get_executor(), boost::asio::use_awaitable);
        }
    }

    std::string m_id;
    std::string m_service;
    EndlessBytes m_bytes;
    bool m_closed = false;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

} // namespace tamarackcove::test
