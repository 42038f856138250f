#include "tamarackcove/Engine/AdapterSlots.h"

#include <cassert>

namespace tamarackcove {

AdapterSlots::AdapterSlots(int slots, bool refusesStaleOrders)
    : m_capacity(slots)
    , m_refusesStaleOrders(refusesStaleOrders)
{
}

bool AdapterSlots::acceptOrder(FencingNumber number)
{
    if (number < m_highestFencingNumber) {
        ++m_staleOrders;
        return !m_refusesStaleOrders;
    }
    m_highestFencingNumber = number;
    return true;
}

LoadDecision AdapterSlots::load(const std::string &adapter, FencingNumber number)
{
    if (!acceptOrder(number)) {
        return LoadDecision::StaleFencing;
    }
    const auto found = m_slots.find(adapter);
    if (found != m_slots.end()) {
        return found->second.state == SlotState::Resident ? LoadDecision::AlreadyResident
                                                          : LoadDecision::AlreadyLoading;
    }
    if (m_slots.size() >= static_cast<std::size_t>(m_capacity)) {
        return LoadDecision::NoFreeSlot;
    }
    m_slots.emplace(adapter, Slot{});
    return LoadDecision::Fetch;
}

void AdapterSlots::finishLoad(const std::string &adapter, bool loaded)
{
    const auto found = m_slots.find(adapter);
    if (found == m_slots.end() || found->second.state != SlotState::Loading) {
        return;
    }
    if (loaded) {
        found->second.state = SlotState::Resident;
    } else {
        m_slots.erase(found);
    }
}

UnloadDecision AdapterSlots::unload(const std::string &adapter, FencingNumber number)
{
    if (!acceptOrder(number)) {
        return UnloadDecision::StaleFencing;
    }
    const auto found = m_slots.find(adapter);
    if (found == m_slots.end()) {
        return UnloadDecision::NotLoaded;
    }
    if (found->second.state == SlotState::Loading) {
        return UnloadDecision::StillLoading;
    }
    const bool inUse = found->second.running > 0;
    m_slots.erase(found);
    if (inUse) {
        ++m_unloadsInUse;
        return UnloadDecision::UnloadedInUse;
    }
    return UnloadDecision::Unloaded;
}

void AdapterSlots::clear()
{
    m_slots.clear();
    m_highestFencingNumber = FencingNumber();
}

bool AdapterSlots::isResident(const std::string &adapter) const
{
    const auto found = m_slots.find(adapter);
    return found != m_slots.end() && found->second.state == SlotState::Resident;
}

void AdapterSlots::beginRequest(const std::string &adapter)
{
    assert(isResident(adapter) && "beginRequest() requires a resident adapter");
    ++m_slots.at(adapter).running;
}

void AdapterSlots::endRequest(const std::string &adapter)
{
    const auto found = m_slots.find(adapter);
    if (found != m_slots.end() && found->second.running > 0) {
        --found->second.running;
    }
}

const std::map<std::string, AdapterSlots::Slot> &AdapterSlots::slots() const
{
    return m_slots;
}

std::vector<std::string> AdapterSlots::residentAdapters() const
{
    std::vector<std::string> names;
    for (const auto &[name, slot] : m_slots) {
        if (slot.state == SlotState::Resident) {
            names.push_back(name);
        }
    }
    return names;
}

FencingNumber AdapterSlots::highestFencingNumber() const
{
    return m_highestFencingNumber;
}

int AdapterSlots::capacity() const
{
    return m_capacity;
}

std::uint64_t AdapterSlots::unloadsInUse() const
{
    return m_unloadsInUse;
}

std::uint64_t AdapterSlots::staleOrders() const
{
    return m_staleOrders;
}

} // namespace tamarackcove
