#include "tamarackcove/Base/Endpoint.h"

#include <arpa/inet.h>
#include <charconv>

namespace tamarackcove {

static bool isIpAddress(const std::string &host)
{
    // The functions of the system read up to the first NUL only.
    if (host.find('\0') != std::string::npos) {
        return false;
    }
    in_addr v4{};
    in6_addr v6{};
    return inet_pton(AF_INET, host.c_str(), &v4) == 1 || inet_pton(AF_INET6, host.c_str(), &v6) == 1;
}

std::optional<Endpoint> Endpoint::parse(std::string_view text)
{
    const auto separator = text.rfind(':');
    if (separator == std::string_view::npos) {
        return std::nullopt;
    }
    auto host = text.substr(0, separator);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    const auto digits = text.substr(separator + 1);
    Endpoint endpoint;
    endpoint.host = std::string(host);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), endpoint.port);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size() || !isIpAddress(endpoint.host)) {
        return std::nullopt;
    }
    return endpoint;
}

std::string Endpoint::toString() const
{
    if (host.find(':') != std::string::npos) {
        return '[' + host + "]:" + std::to_string(port);
    }
    return host + ':' + std::to_string(port);
}

} // namespace tamarackcove
