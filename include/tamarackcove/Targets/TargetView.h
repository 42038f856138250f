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

/// Whether a target refuses orders with an outdated fencing number or ignores the number.
enum class FencingSupport {
    Refuses,
    Ignores,
};

enum class TargetHealth {
    /// Accepts new work.
    Serving,
    /// Announcements are overdue; receives new work only if no serving target is available.
    Suspect,
    /// Finishes its requests and accepts no new work.
    Leaving,
};

enum class ResidencyState {
    Loading,
    Resident,
    /// The coordinator asked the entries to release the adapter, so no new request may use it on this target.
    Retiring,
};

/// The state of one target of the zone as known to an entry. The load figures, `running` and `waiting`, lag behind the
/// actual request load.
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
    /// `running` and `waiting` are the numbers of requests that the target is executing and has queued.
    int running = 0;
    int waiting = 0;
    /// When `running` and `waiting` were received. The target counted these requests earlier.
    TimePoint reportedAt;
    std::map<AdapterRef, ResidencyState> adapters;
};

} // namespace tamarackcove
