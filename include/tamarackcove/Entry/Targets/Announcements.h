#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Targets/Announcement.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace tamarackcove {

/// Parses the body of `POST /v1/targets/announce`. The error names the field that is missing or has an invalid value.
/// Adapters whose names are not of the form `name@version` are skipped, because a target may also hold adapters that
/// tamarackcove does not manage. Thread safe.
[[nodiscard]] Result<Announcement, std::string> parseAnnouncement(std::string_view body);

/// The same for a JSON value that is already parsed. Thread safe.
[[nodiscard]] Result<Announcement, std::string> readAnnouncement(const nlohmann::json &json);

/// Encodes an announcement in the form that readAnnouncement() reads. Thread safe.
[[nodiscard]] nlohmann::json writeAnnouncement(const Announcement &announcement);

} // namespace tamarackcove
