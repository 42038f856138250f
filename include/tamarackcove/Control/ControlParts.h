#pragma once

#include "tamarackcove/Control/LogClient.h"

namespace tamarackcove {

class EntryRegistry;
class LeaderState;
class Metrics;
class ReplicatedState;

/// References to the objects that the tasks of a control process share. ControlNode owns the objects; they outlive
/// every task.
struct ControlParts
{
    LogClient &log;
    ReplicatedState &state;
    EntryRegistry &entries;
    LeaderState &leaderState;
    Metrics &metrics;
};

} // namespace tamarackcove
