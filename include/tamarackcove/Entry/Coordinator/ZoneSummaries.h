#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Entry/Peers/PeerMessages.h"

#include <set>
#include <vector>

namespace tamarackcove {

class PeerLink;
class ZoneView;

/// What a coordinator tells those of other zones: which adapters its zone holds, as changes only.
///
/// Thread safety: used on one thread.
class ZoneSummaries
{
public:
    explicit ZoneSummaries(FencingNumber number);

    /// Sends the whole summary, and changes from then on.
    void add(PeerLink &link);
    void remove(PeerLink &link);
    /// Sends what changed, if anything.
    void update(const ZoneView &view, const std::vector<EntryId> &entries);
    /// Ends all links, so that the others look for the next coordinator.
    void closeAll();

private:
    [[nodiscard]] ZoneSummaryMessage makeMessage() const;

    FencingNumber m_number;
    std::vector<PeerLink *> m_links;
    std::set<AdapterRef> m_resident;
    std::vector<EntryId> m_entries;
    int m_freeSlots = 0;
};

} // namespace tamarackcove
