#pragma once

#include <string>

namespace tamarackcove {

enum class HttpErrorCode {
    ConnectFailed,
    Closed,
    TimedOut,
    TooLarge,
    Malformed,
};

/// Why an HTTP exchange failed.
struct HttpError
{
    HttpErrorCode code = HttpErrorCode::Closed;
    std::string detail;
    /// With ConnectFailed: the host is reachable, but no process listens on the port (ECONNREFUSED).
    bool connectionRefused = false;
};

} // namespace tamarackcove
