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

/// Decides which parts of an announcement that a target sent to this entry are passed on: the coordinator gets the
/// whole announcement if it differs from the zone view, and every entry of the zone gets the target's load figures (its
/// running and waiting requests) with the next heartbeat.
///
/// If the coordinator distributed the load figures, it would send one message for each entry and announcement.
/// Thread safety: used on one thread.
class AnnouncementRelay
{
public:
    /// Records the load figures in the announcement. Returns whether the coordinator must get the whole announcement,
    /// because the zone view does not contain the target (`viewed` is null) or differs from the announcement. Earlier
    /// announcements are not compared, because a target sends each one to a different entry.
    bool recordAnnouncement(const Announcement &announcement, const TargetView *viewed, TimePoint now);

    struct LoadFigures
    {
        /// Triples of target index, running requests and waiting requests.
        std::vector<std::uint32_t> triples;
        /// Number of the last announcement that was recorded; the next call of loadFiguresAfter() takes it as `after`.
        std::uint64_t lastAnnouncement = 0;
    };
    /// The load figures from announcements after number `after`, for targets that have an index in the zone view.
    [[nodiscard]] LoadFigures
    loadFiguresAfter(std::uint64_t after,
                     const std::function<std::optional<std::uint32_t>(const TargetId &)> &index) const;

    /// Removes the load figures of targets that have not announced themselves to this entry recently.
    void tick(TimePoint now);

private:
    struct TargetLoad
    {
        int running = 0;
        int waiting = 0;
        TimePoint announcedAt;
        std::uint64_t announcementNumber = 0;
    };

    std::map<TargetId, TargetLoad> m_targetLoads;
    std::uint64_t m_lastAnnouncementNumber = 0;
};

} // namespace tamarackcove
