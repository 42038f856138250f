#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"

#include <map>

namespace tamarackcove {

/// The entries that watch this control host, with the configuration revisions that they last reported.
///
/// Thread safety: used on one thread.
class EntryRegistry
{
public:
    struct Entry
    {
        Zone zone;
        /// Newest revision that the entry has received.
        Revision heldRevision;
        /// Revision by which the entry routes requests.
        Revision revisionInForce;
        TimePoint lastWatchAt;
    };

    /// Stores what a watch message of the entry reported.
    void recordWatch(const EntryId &entry, const Zone &zone, Revision heldRevision, Revision revisionInForce,
                     TimePoint now);
    /// Removes entries that sent no watch for ten minutes, since their hosts were removed or replaced.
    void removeExpired(TimePoint now);

    [[nodiscard]] const std::map<EntryId, Entry> &entries() const;

private:
    std::map<EntryId, Entry> m_entries;
};

} // namespace tamarackcove
