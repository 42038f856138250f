#pragma once

#include "ByteStream.h"
#include "tamarackcove/Configuration/ConfigurationState.h"

namespace tamarackcove {

void writeIntent(ByteWriter &out, const Intent &intent);
Intent readIntent(ByteReader &in);
void writeDelta(ByteWriter &out, const ConfigurationDelta &delta);
ConfigurationDelta readDelta(ByteReader &in);
void writePlan(ByteWriter &out, const Plan &plan);
Plan readPlan(ByteReader &in);
void writeCalls(ByteWriter &out, const CallLedger::Contents &calls);
CallLedger::Contents readCalls(ByteReader &in);
void writeQuarantine(ByteWriter &out, const QuarantineLedger::Contents &quarantine);
QuarantineLedger::Contents readQuarantine(ByteReader &in);

template<typename Container, typename Write>
void writeAll(ByteWriter &out, const Container &container, Write write)
{
    out.number(container.size());
    for (const auto &one : container) {
        write(one);
    }
}

template<typename Read>
void readAll(ByteReader &in, Read read)
{
    for (auto left = in.number(); left > 0; --left) {
        read();
    }
}

} // namespace tamarackcove
