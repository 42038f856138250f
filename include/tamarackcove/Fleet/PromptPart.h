#pragma once

#include "tamarackcove/Base/StringId.h"

namespace tamarackcove {

/// A part of a prompt that many requests may share, such as a system prompt. Equal parts have equal ids.
using PromptPart = StringId<struct PromptPartTag>;

} // namespace tamarackcove
