#pragma once

#include <string>

namespace tamarackcove {

enum class HttpErrorCode {
    ConnectFailed,
    /// The host answered that nobody listens there.
    ConnectRefused,
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
};

} // namespace tamarackcove
