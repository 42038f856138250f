#include "tamarackcove/Base/Priority.h"

namespace tamarackcove {

std::string_view toString(Priority priority)
{
    switch (priority) {
    case Priority::Low:
        return "low";
    case Priority::Normal:
        return "normal";
    case Priority::High:
        return "high";
    }
    return "normal";
}

std::optional<Priority> parsePriority(std::string_view text)
{
    if (text == "low") {
        return Priority::Low;
    }
    if (text == "normal") {
        return Priority::Normal;
    }
    if (text == "high") {
        return Priority::High;
    }
    return std::nullopt;
}

} // namespace tamarackcove
