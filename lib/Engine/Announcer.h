#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>

namespace tamarackcove {

struct EngineState;

/// Announces the target periodically until cancelled, each time to the next entry of EngineSettings::announceTo. `port`
/// is announced unless the settings give another address.
boost::asio::awaitable<void> announce(EngineState &state, std::uint16_t port);

} // namespace tamarackcove
