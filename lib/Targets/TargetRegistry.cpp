#include "tamarackcove/Targets/TargetRegistry.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace tamarackcove {

// Number of earlier incarnations remembered for each target, to recognize their outdated announcements. Enough for
// several restarts of a target while one of its announcements is being forwarded.
static constexpr std::size_t MaxPreviousIncarnations = 8;

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
        target.lastAnnouncement = announcement;
        target.lastAnnouncedAt = now;
        target.index = ++m_lastIndex;
        m_byIndex[target.index] = announcement.id;
        target.lifeCycle.apply(event);
        compareAnnouncedAdapters(target, now);
        m_changes.gone.erase(announcement.id);
        m_changes.replaced.insert(announcement.id);
        return Outcome::Joined;
    }
    auto &target = found->second;
    if (announcement.incarnation != target.lastAnnouncement.incarnation) {
        if (std::find(target.previousIncarnations.begin(), target.previousIncarnations.end(), announcement.incarnation)
            != target.previousIncarnations.end()) {
            return Outcome::Outdated;
        }
        target.previousIncarnations.push_back(target.lastAnnouncement.incarnation);
        if (target.previousIncarnations.size() > MaxPreviousIncarnations) {
            target.previousIncarnations.pop_front();
        }
        target.lastAnnouncement = announcement;
        target.lastAnnouncedAt = now;
        target.adapters.clear();
        target.lifeCycle.apply(TargetEvent::Restarted);
        target.lifeCycle.apply(event);
        compareAnnouncedAdapters(target, now);
        m_changes.replaced.insert(announcement.id);
        return Outcome::Restarted;
    }
    Announcement comparable = announcement;
    comparable.adapters = target.lastAnnouncement.adapters;
    comparable.leaving = target.lastAnnouncement.leaving;
    if (!equalExceptLoad(comparable, target.lastAnnouncement)) {
        m_changes.replaced.insert(announcement.id);
    }
    auto adapters = std::move(target.lastAnnouncement.adapters);
    target.lastAnnouncement = announcement;
    if (!target.lastAnnouncement.adapters) {
        target.lastAnnouncement.adapters = std::move(adapters);
    }
    target.lastAnnouncedAt = now;
    applyLifeCycleEvent(target, event);
    compareAnnouncedAdapters(target, now);
    return Outcome::Updated;
}

void TargetRegistry::applyLifeCycleEvent(Target &target, TargetEvent event)
{
    if (target.lifeCycle.apply(event)) {
        m_changes.health.insert(target.lastAnnouncement.id);
    }
}

void TargetRegistry::compareAnnouncedAdapters(const Target &target, TimePoint now)
{
    if (!target.lastAnnouncement.adapters) {
        return;
    }
    const auto &listed = *target.lastAnnouncement.adapters;
    const bool listsAbsentAdapter = std::any_of(listed.begin(), listed.end(), [&](const AdapterRef &adapter) {
        const auto held = target.adapters.find(adapter);
        return held == target.adapters.end()
            || (held->second.stage() == ResidencyStage::Absent
                && now - held->second.stageEnteredAt() > m_options.announcementLag);
    });
    const bool omitsResidentAdapter
        = std::any_of(target.adapters.begin(), target.adapters.end(), [&](const auto &held) {
              return held.second.stage() == ResidencyStage::Resident && !listed.contains(held.first)
                  && now - held.second.stageEnteredAt() > m_options.announcementLag;
          });
    if (listsAbsentAdapter || omitsResidentAdapter) {
        m_residencyMismatches.insert(target.lastAnnouncement.id);
    }
}

std::set<TargetId> TargetRegistry::takeResidencyMismatches()
{
    return std::exchange(m_residencyMismatches, {});
}

void TargetRegistry::recordLoad(const TargetId &target, int running, int waiting, TimePoint now)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end()) {
        return;
    }
    found->second.lastAnnouncement.running = running;
    found->second.lastAnnouncement.waiting = waiting;
    found->second.lastAnnouncedAt = now;
    applyLifeCycleEvent(
        found->second, found->second.lastAnnouncement.leaving ? TargetEvent::AnnouncedLeaving : TargetEvent::Announced);
}

void TargetRegistry::tick(TimePoint now)
{
    for (auto it = m_targets.begin(); it != m_targets.end();) {
        auto &target = it->second;
        const auto timeSinceAnnouncement = now - target.lastAnnouncedAt;
        if (timeSinceAnnouncement > m_options.removeAfter) {
            target.lifeCycle.apply(TargetEvent::GoneTimeout);
            m_changes.replaced.erase(it->first);
            m_changes.health.erase(it->first);
            m_changes.gone.insert(it->first);
            m_byIndex.erase(target.index);
            it = m_targets.erase(it);
            continue;
        }
        if (timeSinceAnnouncement > m_options.suspectAfter) {
            applyLifeCycleEvent(target, TargetEvent::SuspectTimeout);
        }
        for (auto adapter = target.adapters.begin(); adapter != target.adapters.end();) {
            auto &residency = adapter->second;
            if (residency.stage() == ResidencyStage::BackOff && now >= residency.retryAt()) {
                residency.apply(ResidencyEvent::BackOffExpired, now);
            }
            // An absent adapter is kept for maxBackOff after its last change, because its AdapterResidency counts the
            // consecutive load failures.
            const bool failureCountExpired = residency.stage() == ResidencyStage::Absent
                && now - residency.stageEnteredAt() > m_options.residency.maxBackOff;
            adapter = failureCountExpired ? target.adapters.erase(adapter) : std::next(adapter);
        }
        ++it;
    }
}

bool TargetRegistry::applyResidencyEvent(Target &target, const AdapterRef &adapter, ResidencyEvent event, TimePoint now)
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
            ResidencyChange{.target = target.lastAnnouncement.id, .adapter = adapter, .state = after});
    }
    return true;
}

bool TargetRegistry::apply(const TargetId &target, const AdapterRef &adapter, ResidencyEvent event, TimePoint now)
{
    const auto found = m_targets.find(target);
    return found != m_targets.end() && applyResidencyEvent(found->second, adapter, event, now);
}

void TargetRegistry::reconcileResidency(const TargetId &target, const std::set<AdapterRef> &adapters,
                                        TimePoint requestedAt, TimePoint now)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end()) {
        return;
    }
    std::vector<AdapterRef> absent;
    for (const auto &[adapter, residency] : found->second.adapters) {
        if (!adapters.contains(adapter) && residency.stageEnteredAt() < requestedAt) {
            absent.push_back(adapter);
        }
    }
    for (const auto &adapter : absent) {
        applyResidencyEvent(found->second, adapter, ResidencyEvent::ReportedAbsent, now);
    }
    for (const auto &adapter : adapters) {
        const auto held = found->second.adapters.find(adapter);
        if (held == found->second.adapters.end() || held->second.stageEnteredAt() < requestedAt) {
            applyResidencyEvent(found->second, adapter, ResidencyEvent::ReportedResident, now);
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
    assert(found != m_targets.end() && "view() requires a known target");
    const auto &lastAnnouncement = found->second.lastAnnouncement;
    TargetView view;
    view.id = lastAnnouncement.id;
    view.zone = lastAnnouncement.zone;
    view.endpoint = lastAnnouncement.endpoint;
    view.kind = lastAnnouncement.kind;
    view.service = lastAnnouncement.service;
    view.baseModel = lastAnnouncement.baseModel;
    view.incarnation = lastAnnouncement.incarnation;
    view.fencing = lastAnnouncement.fencing;
    view.health = toHealth(found->second.lifeCycle.stage());
    view.adapterSlots = lastAnnouncement.adapterSlots;
    view.maxBatch = lastAnnouncement.maxBatch;
    view.running = lastAnnouncement.running;
    view.waiting = lastAnnouncement.waiting;
    view.reportedAt = found->second.lastAnnouncedAt;
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
    assert(found != m_targets.end() && "index() requires a known target");
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
