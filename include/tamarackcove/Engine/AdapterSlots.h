#pragma once

#include "tamarackcove/Base/Ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tamarackcove {

enum class SlotState {
    Loading,
    Resident,
};

enum class LoadDecision {
    /// The caller fetches the weights and then calls finishLoad().
    Fetch,
    AlreadyLoading,
    AlreadyResident,
    NoFreeSlot,
    StaleFencing,
};

enum class UnloadDecision {
    Unloaded,
    /// Unloaded although requests ran on it; these must be aborted. Counted, because no correct system asks for it.
    UnloadedInUse,
    NotLoaded,
    StillLoading,
    StaleFencing,
};

/// The adapter slots of one engine and the fencing number of its orders.
///
/// Thread safety: used on one thread.
class AdapterSlots
{
public:
    struct Slot
    {
        SlotState state = SlotState::Loading;
        int running = 0;
    };

    /// With `refusesStale` false, fencing numbers are recorded and not checked.
    AdapterSlots(int slots, bool refusesStale);

    /// Starts to load an adapter, written `name@version`, unless it is there or no slot is free.
    LoadDecision load(const std::string &adapter, FencingNumber number);
    /// Ends a load; a failed one frees the slot. Does nothing when the slot was dropped meanwhile.
    void finishLoad(const std::string &adapter, bool loaded);
    UnloadDecision unload(const std::string &adapter, FencingNumber number);
    /// Drops every adapter, as a cold restart does.
    void clear();

    [[nodiscard]] bool resident(const std::string &adapter) const;
    void pin(const std::string &adapter);
    void unpin(const std::string &adapter);

    [[nodiscard]] const std::map<std::string, Slot> &slots() const;
    [[nodiscard]] std::vector<std::string> residentAdapters() const;
    [[nodiscard]] FencingNumber highestFencing() const;
    [[nodiscard]] int capacity() const;
    [[nodiscard]] std::uint64_t unloadsInUse() const;
    [[nodiscard]] std::uint64_t staleOrders() const;

private:
    /// Records the number; false when the order is to be refused.
    bool admitOrder(FencingNumber number);

    int m_capacity;
    bool m_refusesStale;
    FencingNumber m_highest;
    std::uint64_t m_unloadsInUse = 0;
    std::uint64_t m_staleOrders = 0;
    std::map<std::string, Slot> m_slots;
};

} // namespace tamarackcove
