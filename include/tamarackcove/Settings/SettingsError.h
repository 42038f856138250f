#pragma once

#include <string>

namespace tamarackcove {

enum class SettingsErrorCode {
    Unreadable,
    NotJson,
    Invalid,
};

/// The reason why a settings file was rejected. `detail` is one line that names the key or the path where there is one.
struct SettingsError
{
    SettingsErrorCode code = SettingsErrorCode::Invalid;
    std::string detail;
};

} // namespace tamarackcove
