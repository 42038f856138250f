#pragma once

#include "tamarackcove/Http/HttpServer.h"
#include "tamarackcove/Supervision/Supervisor.h"

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <set>

namespace tamarackcove {

class ServerConnection;

/// What a server and its connections share.
struct HttpServer::Impl
{
    Impl(Supervisor &supervisor, HttpLimits httpLimits, Handler requestHandler)
        : connections(supervisor)
        , limits(httpLimits)
        , handler(std::move(requestHandler))
        , acceptor(supervisor.executor())
    {
    }

    /// Starts the task of an accepted connection.
    void startConnection(boost::asio::ip::tcp::socket socket);
    /// Accepts the connections in the listen queue without waiting.
    void acceptQueued();

    Supervisor &connections;
    HttpLimits limits;
    Handler handler;
    boost::asio::ip::tcp::acceptor acceptor;
    std::set<ServerConnection *> open;
    std::size_t busy = 0;
    std::uint64_t accepted = 0;
    bool closeAfterResponse = false;
    bool draining = false;
};

} // namespace tamarackcove
