#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Targets/Announcement.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace tamarackcove {

/// Reads the body of `POST /v1/targets/announce`. The error names the field that is missing or of the wrong type.
/// Adapters whose names are not `name@version` are left out: a target may hold others of its own. Thread safe.
[[nodiscard]] Result<Announcement, std::string> parseAnnouncement(std::string_view body);

/// The same from a JSON value.
[[nodiscard]] Result<Announcement, std::string> readAnnouncement(const nlohmann::json &json);

/// The form that readAnnouncement() reads. Thread safe.
[[nodiscard]] nlohmann::json writeAnnouncement(const Announcement &announcement);

} // namespace tamarackcove
