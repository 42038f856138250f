#pragma once

#include "tamarackcove/Control/LogClient.h"

namespace tamarackcove {

class EntryRegistry;
class LeaderDuties;
class Metrics;
class ReplicatedState;

/// What the tasks of a control process share. Owned by its root; outlives every task.
struct ControlParts
{
    LogClient &log;
    ReplicatedState &state;
    EntryRegistry &entries;
    LeaderDuties &duties;
    Metrics &metrics;
};

} // namespace tamarackcove
