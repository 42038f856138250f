#pragma once

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Entry/Peers/PeerMessages.h"
#include "tamarackcove/Targets/TargetView.h"

#include <optional>

namespace tamarackcove {

// Conversions between the values in a ZoneView and their encoding in a ViewMessage. An unknown health or residency
// number, from an entry of a newer version, becomes the value with which the target gets no new work.

[[nodiscard]] WireTarget toWire(std::uint32_t index, const TargetView &target);
[[nodiscard]] TargetView toTargetView(const WireTarget &wire, TimePoint now);
[[nodiscard]] TargetHealth toHealth(int value);
[[nodiscard]] std::optional<ResidencyState> toResidency(int value);
[[nodiscard]] int fromResidency(std::optional<ResidencyState> state);

} // namespace tamarackcove
