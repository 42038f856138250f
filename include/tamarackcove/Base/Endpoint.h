#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarackcove {

/// An IP address and a port.
struct Endpoint
{
    std::string host;
    std::uint16_t port = 0;

    /// Parses `127.0.0.1:8080` or `[::1]:8080`. Returns nothing when the host is not an IP address or the port is
    /// not in 0..65535.
    [[nodiscard]] static std::optional<Endpoint> parse(std::string_view text);
    [[nodiscard]] std::string toString() const;

    auto operator<=>(const Endpoint &) const = default;
};

} // namespace tamarackcove
