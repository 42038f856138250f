#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"

#include <map>

namespace tamarackcove {

/// Which entries watch this control host, and which revisions they have.
///
/// Thread safety: used on one thread.
class EntryRegistry
{
public:
    struct Entry
    {
        Zone zone;
        Revision held;
        Revision inForce;
        TimePoint lastHeard;
    };

    void heard(const EntryId &entry, const Zone &zone, Revision held, Revision inForce, TimePoint now);
    /// Forgets entries that were silent for ten minutes: their hosts are gone for good or replaced.
    void forgetSilent(TimePoint now);

    [[nodiscard]] const std::map<EntryId, Entry> &entries() const;

private:
    std::map<EntryId, Entry> m_entries;
};

} // namespace tamarackcove
