#include "tamarackcove/Entry/Peers/ZoneFollower.h"

#include "ViewEncoding.h"
#include "tamarackcove/Entry/Peers/PeerMessages.h"
#include "tamarackcove/Requests/PinTable.h"

#include <algorithm>
#include <utility>

namespace tamarackcove {

ZoneFollower::ZoneFollower(Zone zone, const PinTable &pins, ReleaseRecords releaseRecords)
    : m_zone(std::move(zone))
    , m_pins(pins)
    , m_releaseRecords(std::move(releaseRecords))
{
}

bool ZoneFollower::applyView(const EntryId &from, const ViewMessage &message, TimePoint now)
{
    const FencingNumber number(message.number);
    if (number < m_number || (number > m_number && !message.full)) {
        return false;
    }
    if (message.full) {
        m_number = number;
        m_coordinator = from;
        m_view = ZoneView();
        m_targetsByIndex.clear();
        m_indexes.clear();
        m_remoteEntries.clear();
    }
    for (const auto &wire : message.targets) {
        auto target = toTargetView(wire, now);
        target.zone = m_zone;
        const auto index = std::get<0>(wire);
        const auto adapters = std::exchange(target.adapters, {});
        const auto id = target.id;
        m_targetsByIndex[index] = id;
        m_indexes[id] = index;
        m_view.putTarget(std::move(target));
        for (const auto &[adapter, state] : adapters) {
            setResidency({id, adapter}, state);
        }
    }
    for (const auto index : message.gone) {
        const auto found = m_targetsByIndex.find(index);
        if (found != m_targetsByIndex.end()) {
            m_view.removeTarget(found->second);
            m_indexes.erase(found->second);
            m_targetsByIndex.erase(found);
        }
    }
    for (const auto &[index, health] : message.health) {
        const auto found = m_targetsByIndex.find(index);
        if (found != m_targetsByIndex.end()) {
            m_view.setHealth(found->second, toHealth(health));
        }
    }
    for (const auto &[index, adapter, state] : message.residency) {
        const auto found = m_targetsByIndex.find(index);
        const auto parsed = AdapterRef::parse(adapter);
        if (found != m_targetsByIndex.end() && parsed) {
            setResidency({found->second, *parsed}, toResidency(state));
        }
    }
    for (const auto &[zone, adapter, resident] : message.remote) {
        if (const auto parsed = AdapterRef::parse(adapter)) {
            m_view.setRemoteResidency(Zone(zone), *parsed, resident);
        }
    }
    for (const auto &[zone, entries] : message.zones) {
        auto &known = m_remoteEntries[Zone(zone)];
        known.clear();
        for (const auto &entry : entries) {
            known.emplace_back(entry);
        }
        if (known.empty()) {
            m_view.clearRemoteResidency(Zone(zone));
        }
    }
    return true;
}

void ZoneFollower::setResidency(const ReleaseRecords::Pair &pair, std::optional<ResidencyState> state)
{
    if (state != ResidencyState::Retiring) {
        m_releaseRecords.clear(pair, m_number);
    }
    m_view.setResidency(pair.first, pair.second, state);
}

void ZoneFollower::applyLoads(FencingNumber number, const std::vector<std::uint32_t> &loads, TimePoint now)
{
    if (number != m_number) {
        return;
    }
    for (std::size_t i = 0; i + 2 < loads.size(); i += 3) {
        const auto found = m_targetsByIndex.find(loads[i]);
        if (found != m_targetsByIndex.end()) {
            m_view.setLoad(found->second, static_cast<int>(loads[i + 1]), static_cast<int>(loads[i + 2]), now);
        }
    }
}

void ZoneFollower::setLoad(const TargetId &target, int running, int waiting, TimePoint now)
{
    m_view.setLoad(target, running, waiting, now);
}

void ZoneFollower::extendViewLease(FencingNumber number, TimePoint until)
{
    if (number == m_number) {
        m_leaseEnd = std::max(m_leaseEnd, until);
    }
}

bool ZoneFollower::mayDispatch(TimePoint now) const
{
    return now < m_leaseEnd;
}

TimePoint ZoneFollower::leaseEnd() const
{
    return m_leaseEnd;
}

bool ZoneFollower::release(const TargetId &target, const AdapterRef &adapter, FencingNumber number, TimePoint now)
{
    if (number < m_number || number < m_highestGranted || m_pins.pins(target, adapter) > 0) {
        return false;
    }
    m_releaseRecords.recordRelease({target, adapter}, number, now);
    m_view.setResidency(target, adapter, ResidencyState::Retiring);
    return true;
}

void ZoneFollower::setHighestGranted(FencingNumber number)
{
    m_highestGranted = number;
}

const ReleaseRecords &ZoneFollower::releaseRecords() const
{
    return m_releaseRecords;
}

void ZoneFollower::tick(TimePoint now)
{
    m_releaseRecords.tick(now);
}

const ZoneView &ZoneFollower::view() const
{
    return m_view;
}

FencingNumber ZoneFollower::number() const
{
    return m_number;
}

const EntryId &ZoneFollower::coordinator() const
{
    return m_coordinator;
}

std::optional<std::uint32_t> ZoneFollower::index(const TargetId &target) const
{
    const auto found = m_indexes.find(target);
    if (found == m_indexes.end()) {
        return std::nullopt;
    }
    return found->second;
}

const std::map<Zone, std::vector<EntryId>> &ZoneFollower::remoteEntries() const
{
    return m_remoteEntries;
}

} // namespace tamarackcove
