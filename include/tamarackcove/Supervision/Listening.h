#pragma once

#include "tamarackcove/Base/Endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <functional>

namespace tamarackcove {

/// Opens the acceptor, binds it to the endpoint and listens; with port 0 the kernel chooses the port.
/// Precondition: the acceptor is not open. Thread safety: as for the acceptor.
[[nodiscard]] boost::system::error_code listenOn(boost::asio::ip::tcp::acceptor &acceptor, const Endpoint &endpoint);

/// Accepts connections until the acceptor is closed or cancelled, and passes each to the hook. After any other error,
/// such as running out of file descriptors, it retries after a pause. Precondition: the acceptor listens and outlives
/// the coroutine.
[[nodiscard]] boost::asio::awaitable<void>
acceptConnections(boost::asio::ip::tcp::acceptor &acceptor,
                  std::function<void(boost::asio::ip::tcp::socket)> onConnection);

} // namespace tamarackcove
