#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Targets/Announcement.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace tamarackcove {

/// Decides what of an announcement to this entry goes to whom: the coordinator gets whole announcements that changed,
/// and every entry of the zone gets the load figures with the next heartbeat.
///
/// Load figures would cost the coordinator one message for each entry and report if it passed them on.
/// Thread safety: used on one thread.
class AnnouncementRelay
{
public:
    /// Returns whether the coordinator must get the whole announcement: the view does not show the target, or shows it
    /// otherwise. A target announces itself to another entry each time, so what this entry heard before does not tell.
    bool accept(const Announcement &announcement, const TargetView *viewed, TimePoint now);

    struct Loads
    {
        /// Triples of target index, running and waiting.
        std::vector<std::uint32_t> triples;
        /// To pass as `after` next time.
        std::uint64_t upTo = 0;
    };
    /// Announcements since the report `after` of targets that have an index.
    [[nodiscard]] Loads loadsAfter(std::uint64_t after,
                                   const std::function<std::optional<std::uint32_t>(const TargetId &)> &index) const;

    /// Forgets targets that announced themselves elsewhere or not at all for a while.
    void tick(TimePoint now);

private:
    struct Known
    {
        int running = 0;
        int waiting = 0;
        TimePoint at;
        std::uint64_t report = 0;
    };

    std::map<TargetId, Known> m_known;
    std::uint64_t m_lastReport = 0;
};

} // namespace tamarackcove
