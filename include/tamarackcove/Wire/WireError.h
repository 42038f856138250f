#pragma once

#include <string>

namespace tamarackcove {

enum class WireErrorCode {
    ConnectFailed,
    Closed,
    TimedOut,
    FrameTooLarge,
    BadFrame,
    UnsupportedVersion,
    UnexpectedMessage,
};

/// Why a connection between our own processes failed.
struct WireError
{
    WireErrorCode code = WireErrorCode::Closed;
    std::string detail;
};

} // namespace tamarackcove
