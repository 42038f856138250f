#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>

namespace tamarackcove {

struct EngineState;

/// Announces the target to the entries of its settings in turn, until cancelled.
boost::asio::awaitable<void> announce(EngineState &state, std::uint16_t port);

} // namespace tamarackcove
