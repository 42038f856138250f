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
    /// With ConnectFailed: the host answered that nobody listens there.
    bool refused = false;
};

} // namespace tamarackcove
