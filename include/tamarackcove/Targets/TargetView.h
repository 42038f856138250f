#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"

#include <map>

namespace tamarackcove {

enum class TargetKind {
    Engine,
    Service,
};

/// Whether a target checks the fencing number of an order.
enum class FencingSupport {
    Refuses,
    Ignores,
};

enum class TargetHealth {
    /// Takes new work.
    Serving,
    /// Missed announcements; takes new work only when no other target can.
    Suspect,
    /// Finishes what it has and takes no new work.
    Leaving,
};

enum class ResidencyState {
    Loading,
    Resident,
    /// The coordinator asked for release; no new request may use it.
    Retiring,
};

/// What an entry knows of one target of its zone. Load figures lag behind the target.
struct TargetView
{
    TargetId id;
    Zone zone;
    Endpoint endpoint;
    TargetKind kind = TargetKind::Engine;
    /// Set for plain services.
    ServiceName service;
    BaseModel baseModel;
    Incarnation incarnation;
    FencingSupport fencing = FencingSupport::Ignores;
    TargetHealth health = TargetHealth::Serving;
    int adapterSlots = 0;
    int maxBatch = 1;
    int running = 0;
    int waiting = 0;
    /// When the load figures were received; the target measured them earlier.
    TimePoint reportedAt;
    std::map<AdapterRef, ResidencyState> adapters;
};

} // namespace tamarackcove
