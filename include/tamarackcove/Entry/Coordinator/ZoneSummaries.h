#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Entry/Peers/PeerMessages.h"

#include <set>
#include <vector>

namespace tamarackcove {

class PeerLink;
class ZoneView;

/// Sends the resident adapters and the live entries of this zone to the coordinators of other zones: everything when a
/// link is added, then only changes.
///
/// Thread safety: used on one thread.
class ZoneSummaries
{
public:
    explicit ZoneSummaries(FencingNumber number);

    /// Sends the whole summary to the link, and each change from then on. Precondition: the link is removed before it
    /// is destroyed.
    void add(PeerLink &link);
    void remove(PeerLink &link);
    /// Sends the changes since the last update to all links, if there are any.
    void update(const ZoneView &view, const std::vector<EntryId> &entries);
    /// Closes all links, so that the coordinators at the other end look for the next coordinator of this zone.
    void closeAll();

private:
    [[nodiscard]] ZoneSummaryMessage makeMessage() const;

    FencingNumber m_number;
    std::vector<PeerLink *> m_links;
    std::set<AdapterRef> m_residentAdapters;
    std::vector<EntryId> m_entries;
    int m_freeSlots = 0;
};

} // namespace tamarackcove
