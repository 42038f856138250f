#include "tamarackcove/Control/Watchers/EntryRegistry.h"

namespace tamarackcove {

static constexpr std::chrono::minutes EntryRetention{10};

void EntryRegistry::recordWatch(const EntryId &entry, const Zone &zone, Revision heldRevision, Revision revisionInForce,
                                TimePoint now)
{
    m_entries[entry]
        = {.zone = zone, .heldRevision = heldRevision, .revisionInForce = revisionInForce, .lastWatchAt = now};
}

void EntryRegistry::removeExpired(TimePoint now)
{
    std::erase_if(m_entries, [now](const auto &entry) { return now - entry.second.lastWatchAt > EntryRetention; });
}

const std::map<EntryId, EntryRegistry::Entry> &EntryRegistry::entries() const
{
    return m_entries;
}

} // namespace tamarackcove
