#pragma once

#include "SnapshotStream.h"
#include "tamarackcove/Configuration/ConfigurationState.h"

namespace tamarackcove {

void writeIntent(SnapshotWriter &out, const Intent &intent);
Intent readIntent(SnapshotReader &in);
void writeDelta(SnapshotWriter &out, const ConfigurationDelta &delta);
ConfigurationDelta readDelta(SnapshotReader &in);
void writePlan(SnapshotWriter &out, const Plan &plan);
Plan readPlan(SnapshotReader &in);
void writeCalls(SnapshotWriter &out, const CallLedger::Contents &calls);
CallLedger::Contents readCalls(SnapshotReader &in);
void writeQuarantine(SnapshotWriter &out, const QuarantineLedger::Contents &quarantine);
QuarantineLedger::Contents readQuarantine(SnapshotReader &in);

template<typename Container, typename Write>
void writeAll(SnapshotWriter &out, const Container &container, Write write)
{
    out.number(container.size());
    for (const auto &one : container) {
        write(one);
    }
}

template<typename Read>
void readAll(SnapshotReader &in, Read read)
{
    for (auto left = in.number(); left > 0; --left) {
        read();
    }
}

} // namespace tamarackcove
