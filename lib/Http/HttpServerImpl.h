#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Http/HttpServer.h"
#include "tamarackcove/Http/MemoryBudget.h"
#include "tamarackcove/Supervision/Supervisor.h"

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string_view>

namespace tamarackcove {

class ServerConnection;

/// What a server and its connections share.
struct HttpServer::Impl
{
    Impl(Supervisor &supervisor, HttpLimits httpLimits, Handler requestHandler,
         std::shared_ptr<MemoryBudget> memoryBudget)
        : connections(supervisor)
        , limits(httpLimits)
        , handler(std::move(requestHandler))
        , budget(std::move(memoryBudget))
        , acceptor(supervisor.executor())
    {
    }

    /// Starts the task of an accepted connection.
    void startConnection(boost::asio::ip::tcp::socket socket);
    /// Accepts the connections in the listen queue without waiting.
    void acceptQueued();
    /// Logs that a client has lost what it made the process hold, or was refused; at most one line a second.
    void logLoss(std::string_view what, std::uint64_t connection, std::size_t bytes, TimePoint since);

    Supervisor &connections;
    HttpLimits limits;
    Handler handler;
    std::shared_ptr<MemoryBudget> budget;
    boost::asio::ip::tcp::acceptor acceptor;
    std::set<ServerConnection *> open;
    std::size_t busy = 0;
    std::uint64_t accepted = 0;
    bool closeAfterResponse = false;
    bool draining = false;
    TimePoint lossLoggedAt;
    std::uint64_t unloggedLosses = 0;
};

} // namespace tamarackcove
