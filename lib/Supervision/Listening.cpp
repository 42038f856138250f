#include "tamarackcove/Supervision/Listening.h"

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;
using asio::ip::tcp;

namespace tamarackcove {

boost::system::error_code listenOn(tcp::acceptor &acceptor, const Endpoint &endpoint)
{
    boost::system::error_code error;
    const tcp::endpoint address(asio::ip::make_address(endpoint.host, error), endpoint.port);
    if (!error) {
        acceptor.open(address.protocol(), error);
    }
    if (!error) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(address, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    return error;
}

asio::awaitable<void> acceptConnections(tcp::acceptor &acceptor, std::function<void(tcp::socket)> onConnection)
{
    // Without a pause the loop would spin while the process is out of file descriptors.
    constexpr milliseconds AcceptRetryDelay{20};
    while (acceptor.is_open()) {
        auto [error, socket] = co_await acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
        if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
            break;
        }
        if (error) {
            Timer pause(acceptor.get_executor(), AcceptRetryDelay);
            co_await pause.async_wait(asio::use_awaitable);
            continue;
        }
        onConnection(std::move(socket));
    }
}

} // namespace tamarackcove
