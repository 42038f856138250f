#include "tamarackcove/Targets/ZoneView.h"

#include <algorithm>

namespace tamarackcove {

void ZoneView::putTarget(TargetView target)
{
    removeTarget(target.id);
    for (const auto &[adapter, state] : target.adapters) {
        m_targetsByAdapter[adapter].insert(target.id);
    }
    auto id = target.id;
    m_targets.insert_or_assign(std::move(id), std::move(target));
}

void ZoneView::removeTarget(const TargetId &id)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return;
    }
    for (const auto &[adapter, state] : found->second.adapters) {
        const auto adapterTargets = m_targetsByAdapter.find(adapter);
        adapterTargets->second.erase(id);
        if (adapterTargets->second.empty()) {
            m_targetsByAdapter.erase(adapterTargets);
        }
    }
    m_targets.erase(found);
}

void ZoneView::setLoad(const TargetId &id, int running, int waiting, TimePoint reportedAt)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return;
    }
    found->second.running = running;
    found->second.waiting = waiting;
    found->second.reportedAt = reportedAt;
}

void ZoneView::setHealth(const TargetId &id, TargetHealth health)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end()) {
        found->second.health = health;
    }
}

void ZoneView::setResidency(const TargetId &id, const AdapterRef &adapter, std::optional<ResidencyState> state)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return;
    }
    if (state) {
        found->second.adapters[adapter] = *state;
        m_targetsByAdapter[adapter].insert(id);
        return;
    }
    if (found->second.adapters.erase(adapter) == 0) {
        return;
    }
    const auto adapterTargets = m_targetsByAdapter.find(adapter);
    adapterTargets->second.erase(id);
    if (adapterTargets->second.empty()) {
        m_targetsByAdapter.erase(adapterTargets);
    }
}

void ZoneView::setRemoteResidency(const Zone &zone, const AdapterRef &adapter, bool resident)
{
    if (resident) {
        m_zonesByAdapter[adapter].insert(zone);
        return;
    }
    const auto found = m_zonesByAdapter.find(adapter);
    if (found == m_zonesByAdapter.end()) {
        return;
    }
    found->second.erase(zone);
    if (found->second.empty()) {
        m_zonesByAdapter.erase(found);
    }
}

void ZoneView::clearRemoteResidency(const Zone &zone)
{
    for (auto &[adapter, zones] : m_zonesByAdapter) {
        zones.erase(zone);
    }
    std::erase_if(m_zonesByAdapter, [](const auto &entry) { return entry.second.empty(); });
}

void ZoneView::clearTargets()
{
    m_targets.clear();
    m_targetsByAdapter.clear();
}

const TargetView *ZoneView::find(const TargetId &id) const
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : &found->second;
}

const std::unordered_map<TargetId, TargetView> &ZoneView::targets() const
{
    return m_targets;
}

std::vector<const TargetView *> ZoneView::holders(const AdapterRef &adapter) const
{
    std::vector<const TargetView *> result;
    const auto adapterTargets = m_targetsByAdapter.find(adapter);
    if (adapterTargets == m_targetsByAdapter.end()) {
        return result;
    }
    for (const auto &id : adapterTargets->second) {
        const auto &target = m_targets.at(id);
        if (target.adapters.at(adapter) == ResidencyState::Resident) {
            result.push_back(&target);
        }
    }
    return result;
}

bool ZoneView::isLoading(const AdapterRef &adapter) const
{
    const auto adapterTargets = m_targetsByAdapter.find(adapter);
    if (adapterTargets == m_targetsByAdapter.end()) {
        return false;
    }
    return std::any_of(adapterTargets->second.begin(), adapterTargets->second.end(), [&](const TargetId &id) {
        return m_targets.at(id).adapters.at(adapter) == ResidencyState::Loading;
    });
}

std::vector<const TargetView *> ZoneView::services(const ServiceName &service) const
{
    std::vector<const TargetView *> result;
    for (const auto &[id, target] : m_targets) {
        if (target.kind == TargetKind::Service && target.service == service) {
            result.push_back(&target);
        }
    }
    return result;
}

std::vector<Zone> ZoneView::remoteHolders(const AdapterRef &adapter) const
{
    const auto found = m_zonesByAdapter.find(adapter);
    if (found == m_zonesByAdapter.end()) {
        return {};
    }
    return {found->second.begin(), found->second.end()};
}

} // namespace tamarackcove
