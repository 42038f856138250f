#include "tamarackcove/Configuration/AdapterCatalog.h"

#include "tamarackcove/Base/Hash.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace tamarackcove {

static constexpr std::size_t MinSlots = 16;

// All versions of a name start at the same slot, so that the current one is found by the name alone.
static std::size_t firstSlot(std::string_view name, std::size_t slotCount)
{
    return hash64(name) & (slotCount - 1);
}

std::string_view AdapterCatalog::nameOf(const Slot &slot) const
{
    return std::string_view(m_names).substr(slot.nameOffset, slot.nameLength);
}

std::string_view AdapterCatalog::versionOf(const Slot &slot) const
{
    return std::string_view(m_names).substr(slot.nameOffset + slot.nameLength, slot.versionLength);
}

std::size_t AdapterCatalog::probe(std::string_view name, std::string_view version) const
{
    auto index = firstSlot(name, m_slots.size());
    while (m_slots[index].used) {
        const auto &slot = m_slots[index];
        if (!slot.removed && nameOf(slot) == name && versionOf(slot) == version) {
            return index;
        }
        index = (index + 1) & (m_slots.size() - 1);
    }
    return index;
}

std::size_t AdapterCatalog::findCurrent(std::string_view name) const
{
    auto index = firstSlot(name, m_slots.size());
    while (m_slots[index].used) {
        const auto &slot = m_slots[index];
        if (!slot.removed && slot.current && nameOf(slot) == name) {
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
    const auto oldNames = std::move(m_names);
    m_slots.assign(slotCount, Slot{});
    m_names.clear();
    m_names.reserve(oldNames.size());
    m_filled = m_count;
    for (auto slot : oldSlots) {
        if (!slot.used || slot.removed) {
            continue;
        }
        const auto text = std::string_view(oldNames).substr(slot.nameOffset, slot.nameLength + slot.versionLength);
        slot.nameOffset = static_cast<std::uint32_t>(m_names.size());
        m_names += text;
        m_slots[probe(nameOf(slot), versionOf(slot))] = slot;
    }
}

// Doubling would leave up to half of the buffer unused, which breaks the limit of 64 bytes an adapter.
void AdapterCatalog::reserveNames(std::size_t added)
{
    if (m_names.size() + added > m_names.capacity()) {
        m_names.reserve(m_names.size() + m_names.size() / 8 + added);
    }
}

void AdapterCatalog::put(const AdapterRef &adapter, const AdapterRecord &record)
{
    // Rebuilds at a fill of 7/8, removed slots included; at half of it live, the table keeps its size.
    if (m_slots.empty() || (m_filled + 1) * 8 > m_slots.size() * 7) {
        const auto slotCount = std::max(MinSlots, m_slots.size());
        rebuild(m_count * 16 >= slotCount * 7 ? slotCount * 2 : slotCount);
    }
    if (record.current) {
        m_slots[findCurrent(adapter.name())].current = false;
    }
    auto &slot = m_slots[probe(adapter.name(), adapter.version())];
    if (!slot.used) {
        slot.used = true;
        slot.nameOffset = static_cast<std::uint32_t>(m_names.size());
        slot.nameLength = static_cast<std::uint16_t>(adapter.name().size());
        slot.versionLength = static_cast<std::uint16_t>(adapter.version().size());
        reserveNames(adapter.name().size() + adapter.version().size());
        m_names += adapter.name();
        m_names += adapter.version();
        ++m_count;
        ++m_filled;
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
    auto &slot = m_slots[probe(adapter.name(), adapter.version())];
    if (!slot.used) {
        return false;
    }
    slot.removed = true;
    --m_count;
    return true;
}

std::optional<AdapterRecord> AdapterCatalog::find(const AdapterRef &adapter) const
{
    if (m_slots.empty()) {
        return std::nullopt;
    }
    const auto &slot = m_slots[probe(adapter.name(), adapter.version())];
    if (!slot.used) {
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
    const auto &slot = m_slots[findCurrent(name)];
    if (!slot.used) {
        return std::nullopt;
    }
    return AdapterRef(std::string(name), std::string(versionOf(slot)));
}

std::size_t AdapterCatalog::size() const
{
    return m_count;
}

std::vector<AdapterRef> AdapterCatalog::all() const
{
    std::vector<AdapterRef> adapters;
    adapters.reserve(m_count);
    for (const auto &slot : m_slots) {
        if (slot.used && !slot.removed) {
            adapters.emplace_back(std::string(nameOf(slot)), std::string(versionOf(slot)));
        }
    }
    return adapters;
}

std::size_t AdapterCatalog::memoryBytes() const
{
    return m_slots.capacity() * sizeof(Slot) + m_names.capacity();
}

} // namespace tamarackcove
