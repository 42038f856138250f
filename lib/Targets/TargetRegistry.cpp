#include "tamarackcove/Targets/TargetRegistry.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace tamarackcove {

// Enough for a target that restarts a few times within the time that a forwarded announcement takes.
static constexpr std::size_t RememberedIncarnations = 8;

bool TargetRegistry::Changes::empty() const
{
    return replaced.empty() && gone.empty() && health.empty() && residency.empty();
}

TargetRegistry::TargetRegistry(Options options)
    : m_options(options)
{
}

static std::optional<ResidencyState> toState(ResidencyStage stage)
{
    switch (stage) {
    case ResidencyStage::Loading:
        return ResidencyState::Loading;
    case ResidencyStage::Resident:
        return ResidencyState::Resident;
    case ResidencyStage::Retiring:
        return ResidencyState::Retiring;
    case ResidencyStage::Absent:
    case ResidencyStage::BackOff:
        break;
    }
    return std::nullopt;
}

TargetRegistry::Outcome TargetRegistry::announce(const Announcement &announcement, TimePoint now)
{
    const auto event = announcement.leaving ? TargetEvent::AnnouncedLeaving : TargetEvent::Announced;
    auto found = m_targets.find(announcement.id);
    if (found == m_targets.end()) {
        auto &target = m_targets[announcement.id];
        target.announced = announcement;
        target.announcedAt = now;
        target.index = ++m_lastIndex;
        m_byIndex[target.index] = announcement.id;
        target.life.apply(event);
        checkAnnouncedAdapters(target, now);
        m_changes.gone.erase(announcement.id);
        m_changes.replaced.insert(announcement.id);
        return Outcome::Joined;
    }
    auto &target = found->second;
    if (announcement.incarnation != target.announced.incarnation) {
        if (std::find(target.replaced.begin(), target.replaced.end(), announcement.incarnation)
            != target.replaced.end()) {
            return Outcome::Outdated;
        }
        target.replaced.push_back(target.announced.incarnation);
        if (target.replaced.size() > RememberedIncarnations) {
            target.replaced.pop_front();
        }
        target.announced = announcement;
        target.announcedAt = now;
        target.adapters.clear();
        target.life.apply(TargetEvent::Restarted);
        target.life.apply(event);
        checkAnnouncedAdapters(target, now);
        m_changes.replaced.insert(announcement.id);
        return Outcome::Restarted;
    }
    Announcement comparable = announcement;
    comparable.adapters = target.announced.adapters;
    comparable.leaving = target.announced.leaving;
    if (!sameApartFromLoad(comparable, target.announced)) {
        m_changes.replaced.insert(announcement.id);
    }
    auto adapters = std::move(target.announced.adapters);
    target.announced = announcement;
    if (!target.announced.adapters) {
        target.announced.adapters = std::move(adapters);
    }
    target.announcedAt = now;
    noteEvent(target, event);
    checkAnnouncedAdapters(target, now);
    return Outcome::Updated;
}

void TargetRegistry::noteEvent(Target &target, TargetEvent event)
{
    if (target.life.apply(event)) {
        m_changes.health.insert(target.announced.id);
    }
}

void TargetRegistry::checkAnnouncedAdapters(const Target &target, TimePoint now)
{
    if (!target.announced.adapters) {
        return;
    }
    const auto &listed = *target.announced.adapters;
    const bool unknownListed = std::any_of(listed.begin(), listed.end(), [&](const AdapterRef &adapter) {
        const auto held = target.adapters.find(adapter);
        return held == target.adapters.end()
            || (held->second.stage() == ResidencyStage::Absent && now - held->second.since() > m_options.reportLag);
    });
    const bool knownMissing = std::any_of(target.adapters.begin(), target.adapters.end(), [&](const auto &held) {
        return held.second.stage() == ResidencyStage::Resident && !listed.contains(held.first)
            && now - held.second.since() > m_options.reportLag;
    });
    if (unknownListed || knownMissing) {
        m_contradicted.insert(target.announced.id);
    }
}

std::set<TargetId> TargetRegistry::takeContradicted()
{
    return std::exchange(m_contradicted, {});
}

void TargetRegistry::refresh(const TargetId &target, int running, int waiting, TimePoint now)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end()) {
        return;
    }
    found->second.announced.running = running;
    found->second.announced.waiting = waiting;
    found->second.announcedAt = now;
    noteEvent(found->second, found->second.announced.leaving ? TargetEvent::AnnouncedLeaving : TargetEvent::Announced);
}

void TargetRegistry::tick(TimePoint now)
{
    for (auto it = m_targets.begin(); it != m_targets.end();) {
        auto &target = it->second;
        const auto silence = now - target.announcedAt;
        if (silence > m_options.goneAfter) {
            target.life.apply(TargetEvent::Lost);
            m_changes.replaced.erase(it->first);
            m_changes.health.erase(it->first);
            m_changes.gone.insert(it->first);
            m_byIndex.erase(target.index);
            it = m_targets.erase(it);
            continue;
        }
        if (silence > m_options.suspectAfter) {
            noteEvent(target, TargetEvent::Missed);
        }
        for (auto adapter = target.adapters.begin(); adapter != target.adapters.end();) {
            auto &residency = adapter->second;
            if (residency.stage() == ResidencyStage::BackOff && now >= residency.retryAt()) {
                residency.apply(ResidencyEvent::BackOffOver, now);
            }
            // An absent adapter is kept while its failures count: as long again as the longest back-off.
            const bool forgotten = residency.stage() == ResidencyStage::Absent
                && now - residency.since() > m_options.residency.maxBackOff;
            adapter = forgotten ? target.adapters.erase(adapter) : std::next(adapter);
        }
        ++it;
    }
}

bool TargetRegistry::applyTo(Target &target, const AdapterRef &adapter, ResidencyEvent event, TimePoint now)
{
    const auto [held, isNew] = target.adapters.try_emplace(adapter, m_options.residency);
    const auto before = toState(held->second.stage());
    if (!held->second.apply(event, now)) {
        if (isNew) {
            target.adapters.erase(held);
        }
        return false;
    }
    const auto after = toState(held->second.stage());
    if (after != before) {
        m_changes.residency.push_back(
            ResidencyChange{.target = target.announced.id, .adapter = adapter, .state = after});
    }
    return true;
}

bool TargetRegistry::apply(const TargetId &target, const AdapterRef &adapter, ResidencyEvent event, TimePoint now)
{
    const auto found = m_targets.find(target);
    return found != m_targets.end() && applyTo(found->second, adapter, event, now);
}

void TargetRegistry::setHeld(const TargetId &target, const std::set<AdapterRef> &adapters, TimePoint askedAt,
                             TimePoint now)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end()) {
        return;
    }
    std::vector<AdapterRef> absent;
    for (const auto &[adapter, residency] : found->second.adapters) {
        if (!adapters.contains(adapter) && residency.since() < askedAt) {
            absent.push_back(adapter);
        }
    }
    for (const auto &adapter : absent) {
        applyTo(found->second, adapter, ResidencyEvent::SeenAbsent, now);
    }
    for (const auto &adapter : adapters) {
        const auto held = found->second.adapters.find(adapter);
        if (held == found->second.adapters.end() || held->second.since() < askedAt) {
            applyTo(found->second, adapter, ResidencyEvent::SeenResident, now);
        }
    }
}

ResidencyStage TargetRegistry::stage(const TargetId &target, const AdapterRef &adapter) const
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end()) {
        return ResidencyStage::Absent;
    }
    const auto held = found->second.adapters.find(adapter);
    return held == found->second.adapters.end() ? ResidencyStage::Absent : held->second.stage();
}

bool TargetRegistry::contains(const TargetId &target) const
{
    return m_targets.contains(target);
}

std::vector<TargetId> TargetRegistry::targets() const
{
    std::vector<TargetId> ids;
    ids.reserve(m_targets.size());
    for (const auto &[id, target] : m_targets) {
        ids.push_back(id);
    }
    return ids;
}

static TargetHealth toHealth(TargetStage stage)
{
    switch (stage) {
    case TargetStage::Serving:
        return TargetHealth::Serving;
    case TargetStage::Leaving:
        return TargetHealth::Leaving;
    case TargetStage::Suspect:
    case TargetStage::Gone:
        break;
    }
    return TargetHealth::Suspect;
}

TargetView TargetRegistry::view(const TargetId &target) const
{
    const auto found = m_targets.find(target);
    assert(found != m_targets.end() && "a view is made of a known target only");
    const auto &announced = found->second.announced;
    TargetView view;
    view.id = announced.id;
    view.zone = announced.zone;
    view.endpoint = announced.endpoint;
    view.kind = announced.kind;
    view.service = announced.service;
    view.baseModel = announced.baseModel;
    view.incarnation = announced.incarnation;
    view.fencing = announced.fencing;
    view.health = toHealth(found->second.life.stage());
    view.adapterSlots = announced.adapterSlots;
    view.maxBatch = announced.maxBatch;
    view.running = announced.running;
    view.waiting = announced.waiting;
    view.reportedAt = found->second.announcedAt;
    for (const auto &[adapter, residency] : found->second.adapters) {
        if (const auto state = toState(residency.stage())) {
            view.adapters.emplace(adapter, *state);
        }
    }
    return view;
}

std::uint32_t TargetRegistry::index(const TargetId &target) const
{
    const auto found = m_targets.find(target);
    assert(found != m_targets.end() && "only a known target has an index");
    return found->second.index;
}

std::optional<TargetId> TargetRegistry::byIndex(std::uint32_t index) const
{
    const auto found = m_byIndex.find(index);
    if (found == m_byIndex.end()) {
        return std::nullopt;
    }
    return found->second;
}

TargetRegistry::Changes TargetRegistry::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace tamarackcove
