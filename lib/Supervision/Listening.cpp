#include "tamarackcove/Supervision/Listening.h"

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

} // namespace tamarackcove
