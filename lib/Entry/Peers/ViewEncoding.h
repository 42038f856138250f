#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Entry/Peers/PeerMessages.h"
#include "tamarackcove/Targets/TargetView.h"

#include <optional>

namespace tamarackcove {

// Between the values of the view and their form in messages. A number that this version does not know becomes the
// value that gives the target no new work.

[[nodiscard]] WireTarget toWire(std::uint32_t index, const TargetView &target);
[[nodiscard]] TargetView toTargetView(const WireTarget &wire, TimePoint now);
[[nodiscard]] TargetHealth toHealth(int value);
[[nodiscard]] std::optional<ResidencyState> toResidency(int value);
[[nodiscard]] int fromResidency(std::optional<ResidencyState> state);

} // namespace tamarackcove
