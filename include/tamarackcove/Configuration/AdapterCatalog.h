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

/// What the configuration says about one adapter version.
struct AdapterRecord
{
    BaseModel baseModel;
    ServiceName service;
    Priority priority = Priority::Normal;
    /// Whether a request that names the adapter without a version gets this one.
    bool current = false;
};

/// All servable adapter versions, packed: an idle adapter must cost a node at most 64 bytes.
///
/// Names lie behind each other in one buffer; an open-addressing table points into it. A removed name stays in the
/// buffer until the next compaction.
/// Thread safety: used on one thread.
class AdapterCatalog
{
public:
    /// Adds the adapter or replaces its record.
    /// Precondition: at most 65,535 distinct base models and services each.
    void put(const AdapterRef &adapter, const AdapterRecord &record);
    /// Returns whether the adapter was there.
    bool remove(const AdapterRef &adapter);

    [[nodiscard]] std::optional<AdapterRecord> find(const AdapterRef &adapter) const;
    /// The version that is current for this name, if any. A name has at most one: put() takes the mark from the others.
    [[nodiscard]] std::optional<AdapterRef> currentVersion(std::string_view name) const;

    [[nodiscard]] std::size_t size() const;
    /// Every adapter, in no particular order. Costs time and memory in proportion to size().
    [[nodiscard]] std::vector<AdapterRef> all() const;
    [[nodiscard]] std::size_t memoryBytes() const;

private:
    struct Slot
    {
        std::uint32_t nameOffset = 0;
        std::uint16_t nameLength = 0;
        std::uint16_t versionLength = 0;
        std::uint16_t baseModel = 0;
        std::uint16_t service = 0;
        std::uint8_t priority = 0;
        bool current = false;
        bool used = false;
        bool removed = false;
    };

    [[nodiscard]] std::size_t probe(std::string_view name, std::string_view version) const;
    [[nodiscard]] std::size_t findCurrent(std::string_view name) const;
    [[nodiscard]] std::string_view nameOf(const Slot &slot) const;
    [[nodiscard]] std::string_view versionOf(const Slot &slot) const;
    void rebuild(std::size_t slotCount);
    void reserveNames(std::size_t added);
    static std::uint16_t intern(std::vector<std::string> &names, const std::string &name);

    std::vector<Slot> m_slots;
    std::string m_names;
    std::vector<std::string> m_baseModels;
    std::vector<std::string> m_services;
    std::size_t m_count = 0;
    std::size_t m_filled = 0;
};

} // namespace tamarackcove
