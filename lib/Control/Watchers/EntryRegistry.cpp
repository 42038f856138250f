#include "tamarackcove/Control/Watchers/EntryRegistry.h"

namespace tamarackcove {

static constexpr std::chrono::minutes ForgetAfter{10};

void EntryRegistry::heard(const EntryId &entry, const Zone &zone, Revision held, Revision inForce, TimePoint now)
{
    m_entries[entry] = {.zone = zone, .held = held, .inForce = inForce, .lastHeard = now};
}

void EntryRegistry::forgetSilent(TimePoint now)
{
    std::erase_if(m_entries, [now](const auto &entry) { return now - entry.second.lastHeard > ForgetAfter; });
}

const std::map<EntryId, EntryRegistry::Entry> &EntryRegistry::entries() const
{
    return m_entries;
}

} // namespace tamarackcove
