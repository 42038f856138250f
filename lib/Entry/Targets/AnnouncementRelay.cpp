#include "tamarackcove/Entry/Targets/AnnouncementRelay.h"

#include <algorithm>

namespace tamarackcove {

// Every link has passed the load on by then.
static constexpr seconds KnownFor{5};

static bool showsAdapters(const TargetView &viewed, const std::set<AdapterRef> &adapters)
{
    const bool allKnown = std::all_of(adapters.begin(), adapters.end(), [&viewed](const AdapterRef &adapter) {
        return viewed.adapters.contains(adapter);
    });
    return allKnown && std::all_of(viewed.adapters.begin(), viewed.adapters.end(), [&adapters](const auto &held) {
               return held.second != ResidencyState::Resident || adapters.contains(held.first);
           });
}

static bool shows(const TargetView &viewed, const Announcement &announcement)
{
    return viewed.incarnation == announcement.incarnation && viewed.endpoint == announcement.endpoint
        && viewed.kind == announcement.kind && viewed.service == announcement.service
        && viewed.baseModel == announcement.baseModel && viewed.adapterSlots == announcement.adapterSlots
        && viewed.maxBatch == announcement.maxBatch && viewed.fencing == announcement.fencing
        && (viewed.health == TargetHealth::Leaving) == announcement.leaving
        && (!announcement.adapters || showsAdapters(viewed, *announcement.adapters));
}

bool AnnouncementRelay::accept(const Announcement &announcement, const TargetView *viewed, TimePoint now)
{
    auto &known = m_known[announcement.id];
    known.running = announcement.running;
    known.waiting = announcement.waiting;
    known.at = now;
    known.report = ++m_lastReport;
    return viewed == nullptr || !shows(*viewed, announcement);
}

AnnouncementRelay::Loads
AnnouncementRelay::loadsAfter(std::uint64_t after,
                              const std::function<std::optional<std::uint32_t>(const TargetId &)> &index) const
{
    Loads loads{.triples = {}, .upTo = m_lastReport};
    for (const auto &[id, known] : m_known) {
        if (known.report <= after) {
            continue;
        }
        if (const auto number = index(id)) {
            loads.triples.push_back(*number);
            loads.triples.push_back(static_cast<std::uint32_t>(known.running));
            loads.triples.push_back(static_cast<std::uint32_t>(known.waiting));
        }
    }
    return loads;
}

void AnnouncementRelay::tick(TimePoint now)
{
    std::erase_if(m_known, [now](const auto &known) { return now - known.second.at > KnownFor; });
}

} // namespace tamarackcove
