#include "tamarackcove/Entry/Targets/AnnouncementRelay.h"

#include <utility>

namespace tamarackcove {

// Longer than the time after which a silent target is gone.
static constexpr seconds KnownFor{15};

bool AnnouncementRelay::accept(const Announcement &announcement, TimePoint now)
{
    auto &known = m_known[announcement.id];
    const bool changed = !known.forwarded || !sameApartFromLoad(known.announcement, announcement);
    auto adapters = std::move(known.announcement.adapters);
    known.announcement = announcement;
    if (!known.announcement.adapters) {
        known.announcement.adapters = std::move(adapters);
    }
    known.at = now;
    known.report = ++m_lastReport;
    known.forwarded = true;
    return changed;
}

void AnnouncementRelay::resetForwarded()
{
    for (auto &[id, known] : m_known) {
        known.forwarded = false;
    }
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
            loads.triples.push_back(static_cast<std::uint32_t>(known.announcement.running));
            loads.triples.push_back(static_cast<std::uint32_t>(known.announcement.waiting));
        }
    }
    return loads;
}

void AnnouncementRelay::tick(TimePoint now)
{
    std::erase_if(m_known, [now](const auto &known) { return now - known.second.at > KnownFor; });
}

} // namespace tamarackcove
