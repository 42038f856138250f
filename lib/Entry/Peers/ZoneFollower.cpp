#include "tamarackcove/Entry/Peers/ZoneFollower.h"

#include "ViewEncoding.h"
#include "tamarackcove/Entry/Peers/PeerMessages.h"
#include "tamarackcove/Requests/PinTable.h"

#include <algorithm>
#include <utility>

namespace tamarackcove {

ZoneFollower::ZoneFollower(Zone zone, const PinTable &pins, milliseconds releaseMarkLifetime)
    : m_zone(std::move(zone))
    , m_pins(pins)
    , m_marks(releaseMarkLifetime)
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
        m_byIndex.clear();
        m_indexes.clear();
        m_remoteEntries.clear();
        m_withheld.clear();
    }
    for (const auto &wire : message.targets) {
        auto target = toTargetView(wire, now);
        target.zone = m_zone;
        const auto index = std::get<0>(wire);
        const auto adapters = std::exchange(target.adapters, {});
        const auto id = target.id;
        m_byIndex[index] = id;
        m_indexes[id] = index;
        std::erase_if(m_withheld, [&id](const auto &pair) { return pair.first == id; });
        m_view.putTarget(std::move(target));
        for (const auto &[adapter, state] : adapters) {
            setResidency({id, adapter}, state, now);
        }
    }
    for (const auto index : message.gone) {
        const auto found = m_byIndex.find(index);
        if (found != m_byIndex.end()) {
            m_view.removeTarget(found->second);
            m_indexes.erase(found->second);
            m_byIndex.erase(found);
        }
    }
    for (const auto &[index, health] : message.health) {
        const auto found = m_byIndex.find(index);
        if (found != m_byIndex.end()) {
            m_view.setHealth(found->second, toHealth(health));
        }
    }
    for (const auto &[index, adapter, state] : message.residency) {
        const auto found = m_byIndex.find(index);
        const auto parsed = AdapterRef::parse(adapter);
        if (found != m_byIndex.end() && parsed) {
            setResidency({found->second, *parsed}, toResidency(state), now);
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
            m_view.forgetZone(Zone(zone));
        }
    }
    return true;
}

void ZoneFollower::setResidency(const ReleaseMarks::Pair &pair, std::optional<ResidencyState> state, TimePoint now)
{
    m_withheld.erase(pair);
    if (state == ResidencyState::Resident && m_marks.blocks(pair, m_number, now)) {
        m_withheld.insert(pair);
        state = ResidencyState::Retiring;
    } else if (state != ResidencyState::Retiring) {
        m_marks.clear(pair, m_number);
    }
    m_view.setResidency(pair.first, pair.second, state);
}

void ZoneFollower::applyLoads(FencingNumber number, const std::vector<std::uint32_t> &loads, TimePoint now)
{
    if (number != m_number) {
        return;
    }
    for (std::size_t i = 0; i + 2 < loads.size(); i += 3) {
        const auto found = m_byIndex.find(loads[i]);
        if (found != m_byIndex.end()) {
            m_view.setLoad(found->second, static_cast<int>(loads[i + 1]), static_cast<int>(loads[i + 2]), now);
        }
    }
}

void ZoneFollower::setLoad(const TargetId &target, int running, int waiting, TimePoint now)
{
    m_view.setLoad(target, running, waiting, now);
}

void ZoneFollower::extendLease(FencingNumber number, TimePoint until)
{
    if (number == m_number) {
        m_leaseEnd = std::max(m_leaseEnd, until);
    }
}

bool ZoneFollower::mayDispatch(TimePoint now) const
{
    return now < m_leaseEnd;
}

bool ZoneFollower::release(const TargetId &target, const AdapterRef &adapter, FencingNumber number, TimePoint now)
{
    if (number < m_number || m_pins.pins(target, adapter) > 0) {
        return false;
    }
    m_marks.mark({target, adapter}, number, now);
    m_withheld.erase({target, adapter});
    m_view.setResidency(target, adapter, ResidencyState::Retiring);
    return true;
}

std::vector<ReleaseMarks::Pair> ZoneFollower::released(TimePoint now) const
{
    return m_marks.active(now);
}

void ZoneFollower::importReleased(const std::vector<ReleaseMarks::Pair> &pairs, TimePoint now)
{
    for (const auto &pair : pairs) {
        m_marks.mark(pair, FencingNumber(), now);
    }
}

bool ZoneFollower::mayBeEvicted(const ReleaseMarks::Pair &pair, FencingNumber number, TimePoint now) const
{
    return m_marks.blocks(pair, number, now);
}

std::vector<ReleaseMarks::Pair> ZoneFollower::tick(TimePoint now)
{
    auto ended = m_marks.takeEnded(now);
    for (const auto &pair : ended) {
        if (m_withheld.erase(pair) > 0) {
            m_view.setResidency(pair.first, pair.second, ResidencyState::Resident);
        }
    }
    return ended;
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
