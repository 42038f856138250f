#include "tamarackcove/Configuration/AdapterCatalog.h"

#include "tamarackcove/Base/Hash.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace tamarackcove {

static constexpr std::size_t MinSlots = 16;

// All versions of a name have the same first slot, so that findCurrentSlot() needs only the name.
static std::size_t firstSlot(std::string_view name, std::size_t slotCount)
{
    return hash64(name) & (slotCount - 1);
}

std::string_view AdapterCatalog::nameOf(const Slot &slot) const
{
    return std::string_view(m_nameBuffer).substr(slot.nameOffset, slot.nameLength);
}

std::string_view AdapterCatalog::versionOf(const Slot &slot) const
{
    return std::string_view(m_nameBuffer).substr(slot.nameOffset + slot.nameLength, slot.versionLength);
}

std::size_t AdapterCatalog::findSlot(std::string_view name, std::string_view version) const
{
    auto index = firstSlot(name, m_slots.size());
    while (m_slots[index].occupied) {
        const auto &slot = m_slots[index];
        if (!slot.tombstone && nameOf(slot) == name && versionOf(slot) == version) {
            return index;
        }
        index = (index + 1) & (m_slots.size() - 1);
    }
    return index;
}

std::size_t AdapterCatalog::findCurrentSlot(std::string_view name) const
{
    auto index = firstSlot(name, m_slots.size());
    while (m_slots[index].occupied) {
        const auto &slot = m_slots[index];
        if (!slot.tombstone && slot.current && nameOf(slot) == name) {
            return index;
        }
        index = (index + 1) & (m_slots.size() - 1);
    }
    return index;
}

std::uint16_t AdapterCatalog::intern(std::vector<std::string> &names, const std::string &name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    if (found != names.end()) {
        return static_cast<std::uint16_t>(found - names.begin());
    }
    assert(names.size() < std::numeric_limits<std::uint16_t>::max() && "too many distinct base models or services");
    names.push_back(name);
    return static_cast<std::uint16_t>(names.size() - 1);
}

void AdapterCatalog::rebuild(std::size_t slotCount)
{
    auto oldSlots = std::move(m_slots);
    const auto oldNames = std::move(m_nameBuffer);
    m_slots.assign(slotCount, Slot{});
    m_nameBuffer.clear();
    m_nameBuffer.reserve(oldNames.size());
    m_occupiedSlots = m_adapterCount;
    for (auto slot : oldSlots) {
        if (!slot.occupied || slot.tombstone) {
            continue;
        }
        const auto text = std::string_view(oldNames).substr(slot.nameOffset, slot.nameLength + slot.versionLength);
        slot.nameOffset = static_cast<std::uint32_t>(m_nameBuffer.size());
        m_nameBuffer += text;
        m_slots[findSlot(nameOf(slot), versionOf(slot))] = slot;
    }
}

// Grows the buffer by 1/8: doubling could leave half of it unused and exceed the limit of 64 bytes per adapter.
void AdapterCatalog::reserveNameBuffer(std::size_t addedBytes)
{
    if (m_nameBuffer.size() + addedBytes > m_nameBuffer.capacity()) {
        m_nameBuffer.reserve(m_nameBuffer.size() + m_nameBuffer.size() / 8 + addedBytes);
    }
}

void AdapterCatalog::put(const AdapterRef &adapter, const AdapterRecord &record)
{
    // Rebuilds when more than 7/8 of the slots would be occupied, tombstones included. The table doubles only if
    // adapters take at least 7/16 of the slots; otherwise removing the tombstones frees enough of them.
    if (m_slots.empty() || (m_occupiedSlots + 1) * 8 > m_slots.size() * 7) {
        const auto slotCount = std::max(MinSlots, m_slots.size());
        rebuild(m_adapterCount * 16 >= slotCount * 7 ? slotCount * 2 : slotCount);
    }
    if (record.current) {
        m_slots[findCurrentSlot(adapter.name())].current = false;
    }
    auto &slot = m_slots[findSlot(adapter.name(), adapter.version())];
    if (!slot.occupied) {
        slot.occupied = true;
        slot.nameOffset = static_cast<std::uint32_t>(m_nameBuffer.size());
        slot.nameLength = static_cast<std::uint16_t>(adapter.name().size());
        slot.versionLength = static_cast<std::uint16_t>(adapter.version().size());
        reserveNameBuffer(adapter.name().size() + adapter.version().size());
        m_nameBuffer += adapter.name();
        m_nameBuffer += adapter.version();
        ++m_adapterCount;
        ++m_occupiedSlots;
    }
    slot.baseModel = intern(m_baseModels, record.baseModel.value());
    slot.service = intern(m_services, record.service.value());
    slot.priority = static_cast<std::uint8_t>(record.priority);
    slot.current = record.current;
}

bool AdapterCatalog::remove(const AdapterRef &adapter)
{
    if (m_slots.empty()) {
        return false;
    }
    auto &slot = m_slots[findSlot(adapter.name(), adapter.version())];
    if (!slot.occupied) {
        return false;
    }
    slot.tombstone = true;
    --m_adapterCount;
    return true;
}

std::optional<AdapterRecord> AdapterCatalog::find(const AdapterRef &adapter) const
{
    if (m_slots.empty()) {
        return std::nullopt;
    }
    const auto &slot = m_slots[findSlot(adapter.name(), adapter.version())];
    if (!slot.occupied) {
        return std::nullopt;
    }
    return AdapterRecord{.baseModel = BaseModel(m_baseModels[slot.baseModel]),
                         .service = ServiceName(m_services[slot.service]),
                         .priority = static_cast<Priority>(slot.priority),
                         .current = slot.current};
}

std::optional<AdapterRef> AdapterCatalog::currentVersion(std::string_view name) const
{
    if (m_slots.empty()) {
        return std::nullopt;
    }
    const auto &slot = m_slots[findCurrentSlot(name)];
    if (!slot.occupied) {
        return std::nullopt;
    }
    return AdapterRef(std::string(name), std::string(versionOf(slot)));
}

std::size_t AdapterCatalog::size() const
{
    return m_adapterCount;
}

std::vector<AdapterRef> AdapterCatalog::all() const
{
    std::vector<AdapterRef> adapters;
    adapters.reserve(m_adapterCount);
    for (const auto &slot : m_slots) {
        if (slot.occupied && !slot.tombstone) {
            adapters.emplace_back(std::string(nameOf(slot)), std::string(versionOf(slot)));
        }
    }
    return adapters;
}

std::size_t AdapterCatalog::memoryBytes() const
{
    return m_slots.capacity() * sizeof(Slot) + m_nameBuffer.capacity();
}

} // namespace tamarackcove
