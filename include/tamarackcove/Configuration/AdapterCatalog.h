#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Priority.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackcove {

/// The configuration of one adapter version.
struct AdapterRecord
{
    BaseModel baseModel;
    ServiceName service;
    Priority priority = Priority::Normal;
    /// Whether a request that names the adapter without a version is served by this version.
    bool current = false;
};

/// All servable adapter versions, stored compactly because an idle adapter may cost a node at most 64 bytes.
///
/// Names and versions are concatenated in one buffer that the slots of an open-addressing hash table point into. The
/// name of a removed adapter stays in the buffer until the table is rebuilt.
/// Thread safety: used on one thread.
class AdapterCatalog
{
public:
    /// Adds the adapter or replaces its record.
    /// Precondition: at most 65,535 distinct base models and services each.
    void put(const AdapterRef &adapter, const AdapterRecord &record);
    /// Returns whether the catalog contained the adapter.
    bool remove(const AdapterRef &adapter);

    [[nodiscard]] std::optional<AdapterRecord> find(const AdapterRef &adapter) const;
    /// The current version of this name, if it has one. A name has at most one: put() with a current version resets
    /// `current` on the previous one.
    [[nodiscard]] std::optional<AdapterRef> currentVersion(std::string_view name) const;

    [[nodiscard]] std::size_t size() const;
    /// Every adapter, in no particular order. Costs time and memory in proportion to size().
    [[nodiscard]] std::vector<AdapterRef> all() const;
    /// The memory allocated for the slots and the name buffer.
    [[nodiscard]] std::size_t memoryBytes() const;

private:
    struct Slot
    {
        /// Where the name starts in m_nameBuffer; the version follows the name.
        std::uint32_t nameOffset = 0;
        std::uint16_t nameLength = 0;
        std::uint16_t versionLength = 0;
        /// Index into m_baseModels.
        std::uint16_t baseModel = 0;
        /// Index into m_services.
        std::uint16_t service = 0;
        std::uint8_t priority = 0;
        bool current = false;
        /// Stays true after the adapter is removed, so that probing continues past the slot.
        bool occupied = false;
        bool tombstone = false;
    };

    /// The slot of the adapter, or the unoccupied slot that ends its probe sequence.
    [[nodiscard]] std::size_t findSlot(std::string_view name, std::string_view version) const;
    /// The slot of the current version, or the unoccupied slot that ends the probe sequence of the name.
    [[nodiscard]] std::size_t findCurrentSlot(std::string_view name) const;
    [[nodiscard]] std::string_view nameOf(const Slot &slot) const;
    [[nodiscard]] std::string_view versionOf(const Slot &slot) const;
    void rebuild(std::size_t slotCount);
    void reserveNameBuffer(std::size_t addedBytes);
    static std::uint16_t intern(std::vector<std::string> &names, const std::string &name);

    std::vector<Slot> m_slots;
    std::string m_nameBuffer;
    std::vector<std::string> m_baseModels;
    std::vector<std::string> m_services;
    std::size_t m_adapterCount = 0;
    /// Number of slots with `occupied` set, including those of removed adapters.
    std::size_t m_occupiedSlots = 0;
};

} // namespace tamarackcove
