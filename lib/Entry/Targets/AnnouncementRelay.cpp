#include "tamarackcove/Entry/Targets/AnnouncementRelay.h"

#include <algorithm>

namespace tamarackcove {

// The load figures of a target are removed this long after its last announcement to this entry. Long enough for a
// heartbeat on every link to carry them.
static constexpr seconds LoadFigureLifetime{5};

static bool adaptersMatch(const TargetView &viewed, const std::set<AdapterRef> &adapters)
{
    const bool allViewed = std::all_of(adapters.begin(), adapters.end(), [&viewed](const AdapterRef &adapter) {
        return viewed.adapters.contains(adapter);
    });
    return allViewed && std::all_of(viewed.adapters.begin(), viewed.adapters.end(), [&adapters](const auto &held) {
               return held.second != ResidencyState::Resident || adapters.contains(held.first);
           });
}

static bool matchesView(const TargetView &viewed, const Announcement &announcement)
{
    return viewed.incarnation == announcement.incarnation && viewed.endpoint == announcement.endpoint
        && viewed.kind == announcement.kind && viewed.service == announcement.service
        && viewed.baseModel == announcement.baseModel && viewed.adapterSlots == announcement.adapterSlots
        && viewed.maxBatch == announcement.maxBatch && viewed.fencing == announcement.fencing
        && (viewed.health == TargetHealth::Leaving) == announcement.leaving
        && (!announcement.adapters || adaptersMatch(viewed, *announcement.adapters));
}

bool AnnouncementRelay::recordAnnouncement(const Announcement &announcement, const TargetView *viewed, TimePoint now)
{
    auto &targetLoad = m_targetLoads[announcement.id];
    targetLoad.running = announcement.running;
    targetLoad.waiting = announcement.waiting;
    targetLoad.announcedAt = now;
    targetLoad.announcementNumber = ++m_lastAnnouncementNumber;
    return viewed == nullptr || !matchesView(*viewed, announcement);
}

AnnouncementRelay::LoadFigures
AnnouncementRelay::loadFiguresAfter(std::uint64_t after,
                                    const std::function<std::optional<std::uint32_t>(const TargetId &)> &index) const
{
    LoadFigures figures{.triples = {}, .lastAnnouncement = m_lastAnnouncementNumber};
    for (const auto &[id, targetLoad] : m_targetLoads) {
        if (targetLoad.announcementNumber <= after) {
            continue;
        }
        if (const auto number = index(id)) {
            figures.triples.push_back(*number);
            figures.triples.push_back(static_cast<std::uint32_t>(targetLoad.running));
            figures.triples.push_back(static_cast<std::uint32_t>(targetLoad.waiting));
        }
    }
    return figures;
}

void AnnouncementRelay::tick(TimePoint now)
{
    std::erase_if(m_targetLoads,
                  [now](const auto &entry) { return now - entry.second.announcedAt > LoadFigureLifetime; });
}

} // namespace tamarackcove
