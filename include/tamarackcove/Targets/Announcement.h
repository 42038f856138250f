#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Targets/TargetView.h"

#include <optional>
#include <set>
#include <string>

namespace tamarackcove {

/// The identity, capacity and request load that a target reports to an entry of its zone every second.
struct Announcement
{
    TargetId id;
    Incarnation incarnation;
    Zone zone;
    TargetKind kind = TargetKind::Engine;
    /// Set for plain services.
    ServiceName service;
    Endpoint endpoint;
    /// The base model of an engine. Only engines set this field, `adapterSlots` and `maxBatch`.
    BaseModel baseModel;
    /// The number of adapters that the engine can hold at the same time.
    int adapterSlots = 0;
    /// The maximum number of requests in a batch.
    int maxBatch = 1;
    FencingSupport fencing = FencingSupport::Ignores;
    /// Whether the target is about to stop and accepts no new work.
    bool leaving = false;
    /// `running` and `waiting` are the numbers of requests that the target is executing and has queued.
    int running = 0;
    int waiting = 0;
    /// The adapters that the engine holds; absent if the announcement omits the list, as engines sometimes do.
    std::optional<std::set<AdapterRef>> adapters;
};

/// Whether two announcements differ at most in their load figures. An omitted adapter list equals any list.
[[nodiscard]] bool equalExceptLoad(const Announcement &left, const Announcement &right);

/// Checks the fields of an announcement. The error tells the operator of the target what to change. `zone` is the zone
/// of the entry that received the announcement. Thread-safe.
[[nodiscard]] Result<void, std::string> validate(const Announcement &announcement, const Zone &zone);

} // namespace tamarackcove
