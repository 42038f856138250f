#pragma once

#include "EngineState.h"
#include "tamarackcove/Http/HttpRequest.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>

namespace tamarackcove {

class HttpResponder;

/// The HTTP interface of a simulated engine or plain service.
///
/// Thread safety: used on the thread of the state's executor.
class EngineApi
{
public:
    struct Hooks
    {
        /// Returns the number of the connection that the server accepted last.
        std::function<std::uint64_t()> newestConnection;
    };

    /// Precondition: the state outlives this object.
    EngineApi(EngineState &state, Hooks hooks);

    /// Handles one request and sends its response. Precondition: request and responder outlive the coroutine.
    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder);

private:
    boost::asio::awaitable<void> handleEngine(const HttpRequest &request, HttpResponder &responder);
    boost::asio::awaitable<void> handleService(const HttpRequest &request, HttpResponder &responder);
    boost::asio::awaitable<void> complete(const HttpRequest &request, HttpResponder &responder, bool chat);
    boost::asio::awaitable<void> writeResult(std::shared_ptr<EngineJob> job, HttpResponder &responder,
                                             std::size_t offset);
    boost::asio::awaitable<void> resume(const HttpRequest &request, HttpResponder &responder);
    boost::asio::awaitable<void> cancel(const HttpRequest &request, HttpResponder &responder);
    boost::asio::awaitable<void> handleFaultChange(const HttpRequest &request, HttpResponder &responder);
    /// Waits while the connection is silenced by a fault. Returns false if the caller disconnected meanwhile.
    boost::asio::awaitable<bool> waitWhileSilenced(HttpResponder &responder);

    EngineState &m_state;
    Hooks m_hooks;
};

} // namespace tamarackcove
