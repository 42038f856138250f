#include "tamarackcove/Requests/PinTable.h"

#include <cassert>

namespace tamarackcove {

void PinTable::pin(const TargetId &target, const AdapterRef &adapter)
{
    ++m_pins[{target, adapter}];
    ++m_byTarget[target];
}

void PinTable::unpin(const TargetId &target, const AdapterRef &adapter)
{
    const auto found = m_pins.find({target, adapter});
    assert(found != m_pins.end() && "unpin without a pin");
    if (--found->second == 0) {
        m_pins.erase(found);
    }
    const auto onTarget = m_byTarget.find(target);
    if (--onTarget->second == 0) {
        m_byTarget.erase(onTarget);
    }
}

int PinTable::pins(const TargetId &target, const AdapterRef &adapter) const
{
    const auto found = m_pins.find({target, adapter});
    return found == m_pins.end() ? 0 : found->second;
}

int PinTable::pinsOnTarget(const TargetId &target) const
{
    const auto found = m_byTarget.find(target);
    return found == m_byTarget.end() ? 0 : found->second;
}

} // namespace tamarackcove
