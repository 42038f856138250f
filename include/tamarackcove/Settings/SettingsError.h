#pragma once

#include <string>

namespace tamarackcove {

enum class SettingsErrorCode {
    Unreadable,
    NotJson,
    Invalid,
};

/// Why a settings file was refused; the detail is one line that names the key.
struct SettingsError
{
    SettingsErrorCode code = SettingsErrorCode::Invalid;
    std::string detail;
};

} // namespace tamarackcove
