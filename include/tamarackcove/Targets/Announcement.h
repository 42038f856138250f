#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Targets/TargetView.h"

#include <optional>
#include <set>
#include <string>

namespace tamarackcove {

/// What a target says of itself every second.
struct Announcement
{
    TargetId id;
    Incarnation incarnation;
    Zone zone;
    TargetKind kind = TargetKind::Engine;
    ServiceName service;
    Endpoint endpoint;
    BaseModel baseModel;
    int adapterSlots = 0;
    int maxBatch = 1;
    FencingSupport fencing = FencingSupport::Ignores;
    bool leaving = false;
    int running = 0;
    int waiting = 0;
    /// Nothing when the target left the list out, as engines do at times.
    std::optional<std::set<AdapterRef>> adapters;
};

/// Whether two announcements differ in load figures only. A list of adapters that was left out counts as equal.
[[nodiscard]] bool sameApartFromLoad(const Announcement &left, const Announcement &right);

/// Refuses nonsense, with a message that tells the operator of the target what to change. `zone` is the one of the
/// entry that got the announcement. Thread safe.
[[nodiscard]] Result<void, std::string> validate(const Announcement &announcement, const Zone &zone);

} // namespace tamarackcove
