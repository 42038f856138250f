#include "tamarackcove/Observe/LogLevelName.h"

namespace tamarackcove {

LogLevel logLevelOf(std::string_view name)
{
    if (name == "debug") {
        return LogLevel::Debug;
    }
    if (name == "warning") {
        return LogLevel::Warning;
    }
    return name == "error" ? LogLevel::Error : LogLevel::Info;
}

} // namespace tamarackcove
