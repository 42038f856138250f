#pragma once

#include "tamarackcove/Base/Endpoint.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

namespace tamarackcove {

/// Opens the acceptor, binds it to the endpoint and listens; port 0 takes a port from the kernel.
/// Precondition: the acceptor is not open. Thread safety: as for the acceptor.
[[nodiscard]] boost::system::error_code listenOn(boost::asio::ip::tcp::acceptor &acceptor, const Endpoint &endpoint);

} // namespace tamarackcove
